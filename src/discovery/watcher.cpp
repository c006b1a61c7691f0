#include "discovery/watcher.hpp"

#include <algorithm>
#include <array>

#include "net/lazy_timer.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::discovery {

constexpr int most_doublings = 3;  // of the wait for a first word: to 14 s

Watcher::Watcher(net::EventLoop& loop, Log& log, LabelTable places, net::Address address, std::uint64_t last,
                 OnEvent told, std::uint64_t seed, WatchTimeouts patience)
    : loop_(loop),
      log_(log),
      labels_(std::move(places)),
      address_(std::move(address)),
      order_(last),
      on_event_(std::move(told)),
      timeouts_(patience),
      wake_(loop),
      random_(seed) {}

void Watcher::start() {
    loop_.spawn(run());
}

void Watcher::set_address(net::Address address) {
    if (address == address_) return;
    log_.write(Log::Level::info, "board_moves", {{"from", address_.to_string()}, {"to", address.to_string()}});
    address_ = std::move(address);
    address_changed_ = true;
    failures_ = 0;
    if (stream_) stream_->close();
    wake_.notify();
}

net::Task<> Watcher::run() {
    for (;;) {
        address_changed_ = false;
        const net::Address to = address_;
        auto connected = co_await loop_.connect(to, timeouts_.connect_timeout);
        const char* why = "not_connected";
        if (!connected.error && !address_changed_) {
            ++connections_;
            stream_ = connected.stream;
            why = co_await listen(connected.stream);
        }
        if (connected.stream) connected.stream->close();
        stream_.reset();
        if (address_changed_) continue;
        log_.write(Log::Level::warn, "board_lost", {{"why", why}, {"last", order_.last()}});
        const net::Time pause =
            std::min(timeouts_.max_backoff, timeouts_.initial_backoff * (1 << std::min(failures_++, 6)));
        // Hundreds lose it at the same moment: in step, they would all come again at the same moment too.
        const auto jittered =
            net::Time(static_cast<net::Time::rep>(static_cast<double>(pause.count()) * (0.5 + random_.next())));
        auto ticket = loop_.call_at(loop_.now() + jittered, [this] { wake_.notify(); });
        co_await wake_.wait();
        loop_.cancel(ticket);
    }
}

// Returns why it could not go on.
net::Task<const char*> Watcher::listen(std::shared_ptr<net::Stream> stream) {
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, stream);
    write_queue->send(encode_subscription(order_.last()));
    bool silent = false, heard_here = false;
    net::LazyTimer limit(loop_, [&] {
        silent = true;
        stream->close();
    });
    FrameDecoder frames(labels_);
    std::array<char, 4096> room;
    WatchEvent event;
    // A crowded service lets a new connection wait for its first word: each one in vain is given twice the time.
    net::Time silent_for = timeouts_.silence_timeout * (1 << std::min(silent_connections_, most_doublings));
    for (;;) {
        limit.set(loop_.now() + silent_for);
        const net::TransferResult moved = co_await stream->read(net::asio::buffer(room));
        if (silent) {
            silent_connections_ += !heard_here;
            co_return "silent";
        }
        if (moved.error || address_changed_) co_return "broke";
        std::string_view bytes(room.data(), moved.bytes);
        while (frames.next(bytes, event)) {
            const SequenceCheck heard = order_.check(event);
            if (heard == SequenceCheck::gap) co_return "gap";
            confirmed_at_ = loop_.now();
            failures_ = 0;
            silent_connections_ = 0;
            heard_here = true;
            silent_for = timeouts_.silence_timeout;
            if (heard == SequenceCheck::accepted) on_event_(event);
            if (address_changed_) co_return "moved";
        }
        if (frames.error() != FrameError::none) co_return name_of(frames.error());
    }
}

}  // namespace plumkeel::discovery
