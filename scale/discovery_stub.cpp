#include "scale/discovery_stub.hpp"

#include <array>

#include "emulator/protocol_bytes.hpp"
#include "scale/stub_bytes.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr net::Time heartbeat_interval = 1s;
constexpr int heartbeat_kind = 0;
constexpr char changes_kind = 2;

std::string make_changes_frame(std::uint64_t event_number, const std::string& payload) {
    const std::size_t frame_body_bytes = frame_event_number_bytes + sizeof changes_kind + payload.size();
    return bytes::big_endian(frame_body_bytes, frame_length_bytes) +
           bytes::big_endian(event_number, frame_event_number_bytes) + changes_kind + payload;
}

}  // namespace

DiscoveryStub::DiscoveryStub(net::EventLoop& loop, net::Address address) : loop_(loop), address_(std::move(address)) {}

net::Error DiscoveryStub::open() {
    auto [error, listener] = loop_.listen(address_);
    if (error) return error;
    listener_ = listener;
    loop_.spawn(accept(listener));
    if (!std::exchange(heartbeats_started_, true)) loop_.spawn(send_heartbeats());
    return {};
}

void DiscoveryStub::close() {
    listener_->close();
    for (const auto& [watcher_id, watcher] : watchers_) watcher.stream->reset();
    watchers_.clear();
}

net::Task<> DiscoveryStub::accept(std::shared_ptr<net::Listener> listener) {
    for (;;) {
        const auto accepted = co_await listener->accept();
        if (accepted.error) co_return;
        ++accepted_connections_;
        loop_.spawn(serve(accepted.stream));
    }
}

net::Task<> DiscoveryStub::serve(std::shared_ptr<net::Stream> stream) {
    std::string known_event_bytes;
    std::array<char, 64> chunk;
    while (known_event_bytes.size() < frame_event_number_bytes) {
        const net::TransferResult read = co_await stream->read(net::asio::buffer(chunk));
        if (read.error) co_return;
        known_event_bytes.append(chunk.data(), read.bytes);
    }
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, stream);
    const auto first_unknown_change =
        changes_.upper_bound(big_endian_at(known_event_bytes, 0, frame_event_number_bytes));
    for (auto change = first_unknown_change; change != changes_.end(); ++change) send(*write_queue, change->second);
    const std::uint64_t watcher_id = ++last_watcher_id_;
    watchers_[watcher_id] = {stream, write_queue};
    while (!(co_await stream->read(net::asio::buffer(chunk))).error) {
    }
    watchers_.erase(watcher_id);
    stream->close();
}

net::Task<> DiscoveryStub::send_heartbeats() {
    for (;;) {
        co_await loop_.sleep(heartbeat_interval);
        const std::string frame = bytes::frame(last_event_number_, heartbeat_kind);
        for (const auto& [watcher_id, watcher] : watchers_) send(*watcher.write_queue, frame);
    }
}

std::uint64_t DiscoveryStub::publish(const std::string& payload) {
    const std::uint64_t event_number = ++last_event_number_;
    const std::string frame = make_changes_frame(event_number, payload);
    changes_[event_number] = frame;
    for (const auto& [watcher_id, watcher] : watchers_) send(*watcher.write_queue, frame);
    return event_number;
}

void DiscoveryStub::send(net::WriteQueue& write_queue, const std::string& frame) {
    bytes_sent_ += frame.size();
    write_queue.send(frame);
}

}  // namespace plumkeel::scale
