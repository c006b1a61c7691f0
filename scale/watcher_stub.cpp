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
constexpr double first_backoff_s = 0.05, longest_backoff_s = 0.8;  // as the program's own
constexpr int most_doublings = 6;

net::Time backoff(int failures, Pcg& random) {
    const double doubled_s = first_backoff_s * (1 << std::min(failures, most_doublings));
    const double seconds = std::min(longest_backoff_s, doubled_s) * (0.5 + random.next());
    return net::Time(static_cast<net::Time::rep>(seconds * 1e6));
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
            const std::string known_event = bytes::big_endian(last_event_, frame_number_size);
            const auto request = net::asio::const_buffer(known_event.data(), known_event.size());
            stream->write_now({&request, 1});
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
    while (buffer.size() >= frame_length_size) {
        const std::size_t length = big_endian_at(buffer, 0, frame_length_size);
        if (buffer.size() < frame_length_size + length) return;
        const bool is_change = buffer[frame_length_size + frame_number_size] != 0;
        last_event_ = big_endian_at(buffer, frame_length_size, frame_number_size);
        buffer.erase(0, frame_length_size + length);
        if (is_change) on_change_(last_event_);
    }
}

}  // namespace plumkeel::scale
