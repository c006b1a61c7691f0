#include "scale/watcher_stub.hpp"

#include <algorithm>
#include <array>

#include "emulator/protocol_bytes.hpp"
#include "random/pcg.hpp"
#include "scale/stub_bytes.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

constexpr net::Time connect_timeout = 1s;
constexpr double initial_backoff_s = 0.05, max_backoff_s = 0.8;  // the same as in `plumkeel platform`
constexpr int max_backoff_doublings = 6;

net::Time backoff(int failures, Pcg& random) {
    const double uncapped_backoff_s = initial_backoff_s * (1 << std::min(failures, max_backoff_doublings));
    const double backoff_s = std::min(max_backoff_s, uncapped_backoff_s) * (0.5 + random.next());
    return net::Time(static_cast<net::Time::rep>(backoff_s * 1e6));
}

}  // namespace

WatcherStub::WatcherStub(net::EventLoop& loop, net::Address discovery, std::uint64_t seed,
                         std::function<void(std::uint64_t)> on_change)
    : loop_(loop), discovery_(std::move(discovery)), on_change_(std::move(on_change)), seed_(seed) {
    loop_.spawn(run());
}

net::Task<> WatcherStub::run() {
    Pcg random(seed_);
    for (int failures = 0;; ++failures) {
        auto [error, stream] = co_await loop_.connect(discovery_, connect_timeout);
        if (!error) {
            const std::string known_event_bytes = bytes::big_endian(last_event_number_, frame_event_number_bytes);
            const auto request_buffer = net::asio::const_buffer(known_event_bytes.data(), known_event_bytes.size());
            stream->write_now({&request_buffer, 1});
            failures = 0;
            co_await read_frames(stream);
        }
        if (stream) stream->close();
        co_await loop_.sleep(backoff(failures, random));
    }
}

net::Task<> WatcherStub::read_frames(std::shared_ptr<net::Stream> stream) {
    std::string buffer;
    std::array<char, 4096> chunk;
    for (;;) {
        const net::TransferResult read = co_await stream->read(net::asio::buffer(chunk));
        buffer.append(chunk.data(), read.bytes);
        handle_frames(buffer);
        if (read.error) co_return;
    }
}

void WatcherStub::handle_frames(std::string& buffer) {
    while (buffer.size() >= frame_length_bytes) {
        const std::size_t frame_body_bytes = big_endian_at(buffer, 0, frame_length_bytes);
        if (buffer.size() < frame_length_bytes + frame_body_bytes) return;
        const bool is_change = buffer[frame_length_bytes + frame_event_number_bytes] != 0;
        last_event_number_ = big_endian_at(buffer, frame_length_bytes, frame_event_number_bytes);
        buffer.erase(0, frame_length_bytes + frame_body_bytes);
        if (is_change) on_change_(last_event_number_);
    }
}

}  // namespace plumkeel::scale
