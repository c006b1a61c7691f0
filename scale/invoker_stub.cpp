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

// Takes whole messages off the front of the buffer.
void InvokerStub::handle_messages(std::string& buffer, const std::shared_ptr<net::WriteQueue>& write_queue) {
    for (auto end = buffer.find("\r\n"); end != std::string::npos; end = buffer.find("\r\n")) {
        const std::string line = buffer.substr(0, end);
        const std::string rest = line.substr(std::min(line.size(), line.find(' ') + 1));
        std::size_t size = end + 2;
        if (line.starts_with("RUN ")) {
            const std::size_t body = std::stoul(line.substr(line.rfind(' ') + 1));
            size += body + 2;
            if (buffer.size() < size) return;
            ++runs_;
            loop_.spawn(answer(write_queue, rest.substr(0, rest.find(' '))));
        } else if (line.starts_with("INFO ") || line.starts_with("NOOP ")) {
            ++health_checks_;
            send(*write_queue, rest + " well l=active:1;waiting:0 0\r\n\r\n");
        }
        buffer.erase(0, size);
    }
}

net::Task<> InvokerStub::answer(std::shared_ptr<net::WriteQueue> write_queue, std::string id) {
    co_await loop_.sleep(run_time_);
    send(*write_queue, id + " data n=reused 4\r\ndone\r\n");
}

void InvokerStub::send(net::WriteQueue& write_queue, std::string text) {
    bytes_ += text.size();
    write_queue.send(std::move(text));
}

}  // namespace plumkeel::scale
