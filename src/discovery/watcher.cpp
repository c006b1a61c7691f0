#include "discovery/watcher.hpp"

#include <algorithm>
#include <array>

#include "net/lazy_timer.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::discovery {

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
      random_(seed),
      silence_limit_(timeouts.silence_timeout + with_jitter(timeouts.initial_backoff)) {}

const char* Watcher::name_of(DisconnectReason reason) {
    static constexpr const char* names[] = {"not_connected", "silent",          "closed",
                                            "sequence_gap",  "malformed_frame", "superseded"};
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
    failed_attempts_ = 0;
    close_all_except(nullptr);
    connect_at(loop_.now());
}

void Watcher::apply_known_events(const std::vector<WatchEvent>& events) {
    for (const WatchEvent& event : events) {
        const SequenceCheck check = sequence_.check(event);
        if (check == SequenceCheck::gap) return;
        if (check == SequenceCheck::accepted) on_event_(event);
    }
}

// Opens a connection whenever the service has been silent for too long on all others.
net::Task<> Watcher::run() {
    for (;;) {
        const net::Address to = address_;
        const net::Time started_at = loop_.now();
        auto connected = co_await loop_.connect(to, timeouts_.connect_timeout);
        const bool is_needed = to == address_ && last_received_at_ < started_at;
        if (!is_needed) {
            if (connected.stream) connected.stream->close();
        } else if (connected.error) {
            on_disconnected({DisconnectReason::not_connected});
        } else {
            subscribe(std::move(connected.stream));
        }
        co_await wait_for_connect_time();
    }
}

net::Task<> Watcher::wait_for_connect_time() {
    while (loop_.now() < connect_at_) {
        auto timer = loop_.call_at(connect_at_, [this] { wake_up_.notify(); });
        co_await wake_up_.wait();
        loop_.cancel(timer);
    }
}

void Watcher::connect_at(net::Time when) {
    connect_at_ = when;
    wake_up_.notify();
}

void Watcher::subscribe(std::shared_ptr<net::Stream> stream) {
    ++connections_;
    if (!subscriptions_.empty())
        log_.write(Log::Level::warn, "discovery_silent",
                   {{"connections", subscriptions_.size()}, {"last_event", sequence_.last_accepted()}});
    // The oldest connection stays: it has waited longest at a service that may be overloaded.
    if (subscriptions_.size() >= max_subscriptions) {
        log_disconnect({DisconnectReason::superseded});
        const SubscriptionPtr second_oldest = subscriptions_[1];
        subscriptions_.erase(subscriptions_.begin() + 1);
        second_oldest->is_open = false;
        second_oldest->stream->close();
    }
    const auto subscription = std::make_shared<Subscription>();
    subscription->stream = std::move(stream);
    subscriptions_.push_back(subscription);
    connect_at_ = loop_.now() + timeouts_.silence_timeout + next_backoff();
    loop_.spawn(receive(subscription));
}

net::Task<> Watcher::receive(SubscriptionPtr subscription) {
    const Disconnect disconnect = co_await read_events(*subscription);
    if (!subscription->is_open) co_return;  // closed by the watcher
    subscription->is_open = false;
    subscription->stream->close();
    std::erase(subscriptions_, subscription);
    on_disconnected(disconnect);
}

// Reads until the connection ends, is silent for close_timeout, or sends something that the watch can't continue from.
net::Task<Watcher::Disconnect> Watcher::read_events(const Subscription& subscription) {
    const std::shared_ptr<net::Stream> stream = subscription.stream;
    const auto write_queue = std::make_shared<net::WriteQueue>(loop_, stream);
    write_queue->send(encode_subscription(sequence_.last_accepted()));
    bool timed_out = false;
    net::LazyTimer silence_timer(loop_, [&] {
        timed_out = true;
        stream->close();
    });
    FrameDecoder decoder(labels_);
    std::array<char, read_buffer_bytes> buffer;
    WatchEvent event;
    for (;;) {
        silence_timer.set(loop_.now() + timeouts_.close_timeout);
        const net::TransferResult result = co_await stream->read(net::asio::buffer(buffer));
        if (timed_out) co_return Disconnect{DisconnectReason::silent};
        if (result.error || !subscription.is_open) co_return Disconnect{DisconnectReason::closed};
        on_bytes_received();
        std::string_view bytes(buffer.data(), result.bytes);
        while (decoder.next(bytes, event)) {
            const SequenceCheck check = sequence_.check(event);
            if (check == SequenceCheck::gap) co_return Disconnect{DisconnectReason::sequence_gap};
            on_event_received(subscription);
            if (check == SequenceCheck::accepted) on_event_(event);
            if (!subscription.is_open) co_return Disconnect{DisconnectReason::closed};
        }
        if (decoder.error() != FrameError::none)
            co_return Disconnect{DisconnectReason::malformed_frame, decoder.error()};
    }
}

// Any bytes show that the service responds, also those of a long list that arrives slowly.
void Watcher::on_bytes_received() {
    last_received_at_ = loop_.now();
    connect_at_ = std::max(connect_at_, last_received_at_ + silence_limit_);
}

void Watcher::on_event_received(const Subscription& subscription) {
    confirmed_at_ = loop_.now();
    failed_attempts_ = 0;
    close_all_except(&subscription);
}

void Watcher::close_all_except(const Subscription* kept) {
    std::erase_if(subscriptions_, [&](const SubscriptionPtr& subscription) {
        if (subscription.get() == kept) return false;
        subscription->is_open = false;
        subscription->stream->close();
        return true;
    });
}

// Reconnects after a backoff, or as planned if a connection is to be opened earlier beside others.
void Watcher::on_disconnected(const Disconnect& disconnect) {
    log_disconnect(disconnect);
    const net::Time retry_at = loop_.now() + next_backoff();
    const bool is_planned = !subscriptions_.empty() && connect_at_ > loop_.now();
    connect_at(is_planned ? std::min(connect_at_, retry_at) : retry_at);
}

void Watcher::log_disconnect(const Disconnect& disconnect) {
    Log::Fields fields{{"reason", name_of(disconnect.reason)}, {"last_event", sequence_.last_accepted()}};
    if (disconnect.frame_error != FrameError::none) fields["frame_error"] = discovery::name_of(disconnect.frame_error);
    log_.write(Log::Level::warn, "discovery_connection_lost", std::move(fields));
}

// Spreads the connections of many controllers that lose the service at the same moment.
net::Time Watcher::with_jitter(net::Time time) {
    return net::Time(static_cast<net::Time::rep>(static_cast<double>(time.count()) * (0.5 + random_.next())));
}

// Exponential backoff with jitter.
net::Time Watcher::next_backoff() {
    const net::Time backoff = std::min(
        timeouts_.max_backoff, timeouts_.initial_backoff * (1 << std::min(failed_attempts_++, max_backoff_doublings)));
    return with_jitter(backoff);
}

}  // namespace plumkeel::discovery
