#include "discovery/watcher.hpp"

#include <algorithm>
#include <array>

#include "net/lazy_timer.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::discovery {

constexpr int max_timeout_doublings = 3;  // limits the silence timeout before a connection's first event to 14.4 s
constexpr int max_backoff_doublings = 6;
constexpr std::size_t read_buffer_bytes = 4096;

Watcher::Watcher(net::EventLoop& loop, Log& log, LabelTable labels, net::Address address,
                 std::uint64_t known_event_number, OnEvent on_event, std::uint64_t seed, WatchTimeouts timeouts)
    : loop_(loop),
      log_(log),
      labels_(std::move(labels)),
      address_(std::move(address)),
      sequence_(known_event_number),
      on_event_(std::move(on_event)),
      timeouts_(timeouts),
      wake_up_(loop),
      random_(seed) {}

const char* Watcher::name_of(DisconnectReason reason) {
    static constexpr const char* names[] = {"not_connected", "silent",          "closed",
                                            "sequence_gap",  "address_changed", "malformed_frame"};
    return names[static_cast<int>(reason)];
}

void Watcher::start() {
    loop_.spawn(run());
}

void Watcher::set_address(net::Address address) {
    if (address == address_) return;
    log_.write(Log::Level::info, "discovery_address_changed",
               {{"from", address_.to_string()}, {"to", address.to_string()}});
    address_ = std::move(address);
    address_changed_ = true;
    failed_attempts_ = 0;
    if (stream_) stream_->close();
    wake_up_.notify();
}

net::Task<> Watcher::run() {
    for (;;) {
        address_changed_ = false;
        const net::Address to = address_;
        auto connected = co_await loop_.connect(to, timeouts_.connect_timeout);
        Disconnect disconnect{DisconnectReason::not_connected};
        if (!connected.error && !address_changed_) {
            ++connections_;
            stream_ = connected.stream;
            disconnect = co_await receive(connected.stream);
        }
        if (connected.stream) connected.stream->close();
        stream_.reset();
        if (address_changed_) continue;
        log_disconnect(disconnect);
        const net::Time backoff = next_backoff();
        auto timer = loop_.call_at(loop_.now() + backoff, [this] { wake_up_.notify(); });
        co_await wake_up_.wait();
        loop_.cancel(timer);
    }
}

net::Task<Watcher::Disconnect> Watcher::receive(std::shared_ptr<net::Stream> stream) {
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, stream);
    write_queue->send(encode_subscription(sequence_.last_accepted()));
    bool timed_out = false, received_event = false;
    net::LazyTimer silence_timer(loop_, [&] {
        timed_out = true;
        stream->close();
    });
    FrameDecoder decoder(labels_);
    std::array<char, read_buffer_bytes> buffer;
    WatchEvent event;
    // An overloaded service may be slow to send the first event: the timeout doubles after each silent connection.
    net::Time timeout = timeouts_.silence_timeout * (1 << std::min(silent_connections_, max_timeout_doublings));
    for (;;) {
        silence_timer.set(loop_.now() + timeout);
        const net::TransferResult result = co_await stream->read(net::asio::buffer(buffer));
        if (timed_out) {
            silent_connections_ += !received_event;
            co_return Disconnect{DisconnectReason::silent};
        }
        if (result.error || address_changed_) co_return Disconnect{DisconnectReason::closed};
        std::string_view bytes(buffer.data(), result.bytes);
        while (decoder.next(bytes, event)) {
            const SequenceCheck check = sequence_.check(event);
            if (check == SequenceCheck::gap) co_return Disconnect{DisconnectReason::sequence_gap};
            confirmed_at_ = loop_.now();
            failed_attempts_ = 0;
            silent_connections_ = 0;
            received_event = true;
            timeout = timeouts_.silence_timeout;
            if (check == SequenceCheck::accepted) on_event_(event);
            if (address_changed_) co_return Disconnect{DisconnectReason::address_changed};
        }
        if (decoder.error() != FrameError::none)
            co_return Disconnect{DisconnectReason::malformed_frame, decoder.error()};
    }
}

void Watcher::log_disconnect(const Disconnect& disconnect) {
    Log::Fields fields{{"reason", name_of(disconnect.reason)}, {"last_event", sequence_.last_accepted()}};
    if (disconnect.frame_error != FrameError::none) fields["frame_error"] = discovery::name_of(disconnect.frame_error);
    log_.write(Log::Level::warn, "discovery_connection_lost", std::move(fields));
}

// Exponential backoff with jitter, since many controllers may lose the service at the same moment.
net::Time Watcher::next_backoff() {
    const net::Time backoff = std::min(
        timeouts_.max_backoff, timeouts_.initial_backoff * (1 << std::min(failed_attempts_++, max_backoff_doublings)));
    return net::Time(static_cast<net::Time::rep>(static_cast<double>(backoff.count()) * (0.5 + random_.next())));
}

}  // namespace plumkeel::discovery
