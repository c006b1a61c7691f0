#include "scale/invoker_stub.hpp"

#include <algorithm>
#include <array>

namespace plumkeel::scale {

InvokerStub::InvokerStub(net::EventLoop& loop, std::uint16_t port, net::Time run_time)
    : loop_(loop), port_(port), run_time_(run_time) {}

net::Error InvokerStub::open() {
    auto [error, listener] = loop_.listen({"0.0.0.0", port_});
    if (error) return error;
    listener_ = listener;
    loop_.spawn(accept());
    return {};
}

net::Task<> InvokerStub::accept() {
    for (;;) {
        const auto accepted = co_await listener_->accept();
        if (accepted.error) co_return;
        ++connections_;
        loop_.spawn(serve(accepted.stream));
    }
}

net::Task<> InvokerStub::serve(std::shared_ptr<net::Stream> stream) {
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, stream);
    std::string buffer;
    std::array<char, 4096> chunk;
    for (;;) {
        const net::TransferResult read = co_await stream->read(net::asio::buffer(chunk));
        if (read.error) break;
        bytes_ += read.bytes;
        buffer.append(chunk.data(), read.bytes);
        handle_messages(buffer, write_queue);
    }
    write_queue->abandon();
    stream->close();
}

// Handles the complete messages at the start of the buffer and removes them.
void InvokerStub::handle_messages(std::string& buffer, const std::shared_ptr<net::WriteQueue>& write_queue) {
    for (auto end = buffer.find("\r\n"); end != std::string::npos; end = buffer.find("\r\n")) {
        const std::string command_line = buffer.substr(0, end);
        const std::string after_command =
            command_line.substr(std::min(command_line.size(), command_line.find(' ') + 1));
        std::size_t message_bytes = end + 2;
        if (command_line.starts_with("RUN ")) {
            const std::size_t body_bytes = std::stoul(command_line.substr(command_line.rfind(' ') + 1));
            message_bytes += body_bytes + 2;
            if (buffer.size() < message_bytes) return;
            ++runs_;
            loop_.spawn(answer(write_queue, after_command.substr(0, after_command.find(' '))));
        } else if (command_line.starts_with("INFO ") || command_line.starts_with("NOOP ")) {
            ++health_checks_;
            send(*write_queue, after_command + " well l=active:1;waiting:0 0\r\n\r\n");
        }
        buffer.erase(0, message_bytes);
    }
}

net::Task<> InvokerStub::answer(std::shared_ptr<net::WriteQueue> write_queue, std::string attempt_id) {
    co_await loop_.sleep(run_time_);
    send(*write_queue, attempt_id + " data n=reused 4\r\ndone\r\n");
}

void InvokerStub::send(net::WriteQueue& write_queue, std::string text) {
    bytes_ += text.size();
    write_queue.send(std::move(text));
}

}  // namespace plumkeel::scale
