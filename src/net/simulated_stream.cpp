#include "net/simulated_stream.hpp"

#include <algorithm>
#include <utility>

namespace plumkeel::net {

SimulatedStream::SimulatedStream(SimulatedEventLoop& loop, std::size_t buffer_bytes,
                                 std::shared_ptr<SimulatedPipe> input, std::shared_ptr<SimulatedPipe> output)
    : loop_(loop), buffer_bytes_(buffer_bytes), input_(std::move(input)), output_(std::move(output)) {}

SimulatedStream::~SimulatedStream() {
    close(Closing::orderly);
}

Task<TransferResult> SimulatedStream::read(asio::mutable_buffer into) {
    const auto input = input_;
    for (;;) {
        if (closed_) co_return TransferResult{asio::error::operation_aborted, 0, {}};
        if (input->error) co_return TransferResult{input->error, 0, {}};
        if (has_arrived_bytes()) {
            std::string& bytes = input->segments.front().bytes;
            const std::size_t count = asio::buffer_copy(into, asio::buffer(bytes));
            bytes.erase(0, count);
            if (bytes.empty()) input->segments.pop_front();
            input->buffered_bytes -= count;
            input->space_available.notify();
            co_return TransferResult{{}, count, {}};
        }
        if (input->segments.empty() && input->shutdown_at <= loop_.now())
            co_return TransferResult{asio::error::eof, 0, {}};
        co_await input->arrival.wait();
    }
}

TransferResult SimulatedStream::write_now(std::span<const asio::const_buffer> from) {
    if (closed_) return {asio::error::operation_aborted, 0, {}};
    if (output_->error) return {output_->error, 0, {}};
    if (output_->shutdown_at != Time::max()) return {asio::error::broken_pipe, 0, {}};
    std::string bytes;
    for (const auto& buffer : from) {
        const std::size_t space = buffer_bytes_ - output_->buffered_bytes - bytes.size();
        bytes.append(static_cast<const char*>(buffer.data()), std::min(space, buffer.size()));
    }
    const std::size_t count = bytes.size();
    if (count == 0) return {};
    output_->buffered_bytes += count;
    output_->segments.push_back({loop_.now() + loop_.latency(), std::move(bytes)});
    notify_arrival_at(output_, output_->segments.back().arrives_at);
    return {{}, count, {}};
}

Task<Error> SimulatedStream::writable() {
    const auto output = output_;
    while (!closed_ && !output->error && output->buffered_bytes >= buffer_bytes_)
        co_await output->space_available.wait();
    co_return closed_ ? Error(asio::error::operation_aborted) : Error();
}

bool SimulatedStream::peer_closed() {
    return closed_ || input_->error || (input_->segments.empty() && input_->shutdown_at <= loop_.now());
}

bool SimulatedStream::has_unread() {
    return !closed_ && (has_arrived_bytes() || peer_closed());
}

void SimulatedStream::shutdown_send() {
    if (output_->shutdown_at != Time::max()) return;
    output_->shutdown_at = loop_.now() + loop_.latency();
    notify_arrival_at(output_, output_->shutdown_at);
}

// After one latency the peer's writes fail; if the connection is reset, its reads fail too.
void SimulatedStream::close(Closing closing) {
    if (closed_) return;
    closed_ = true;
    shutdown_send();
    const bool is_reset = closing == Closing::with_reset || input_->buffered_bytes > 0;
    loop_.call_at(loop_.now() + loop_.latency(), [input = input_, output = output_, is_reset] {
        input->error = asio::error::broken_pipe;
        if (is_reset) output->error = asio::error::connection_reset;
        input->space_available.notify();
        output->arrival.notify();
    });
    input_->arrival.notify();
    output_->space_available.notify();
}

bool SimulatedStream::has_arrived_bytes() const {
    return !input_->segments.empty() && input_->segments.front().arrives_at <= loop_.now();
}

void SimulatedStream::notify_arrival_at(const std::shared_ptr<SimulatedPipe>& pipe, Time when) {
    loop_.call_at(when, [pipe] { pipe->arrival.notify(); });
}

}  // namespace plumkeel::net
