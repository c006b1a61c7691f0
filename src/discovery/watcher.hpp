/// Watches the discovery service over a connection: subscribes from the last event received and delivers new events.
/// Reconnects when the connection closes, skips an event, sends a malformed frame or is silent for too long; meanwhile
/// the last known endpoints stay in use.
///
/// A silent connection may be waiting for a slow service, or may never send anything again. Therefore it stays open
/// while further ones are opened beside it; the first one that sends an event is kept, and the others are closed.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "discovery/event_sequence.hpp"
#include "discovery/frame_decoder.hpp"
#include "log/log.hpp"
#include "net/event_loop.hpp"
#include "net/notification.hpp"
#include "random/pcg.hpp"

namespace plumkeel::discovery {

struct WatchTimeouts {
    net::Time connect_timeout = std::chrono::seconds(1);
    /// How long the service may be silent before another connection is opened; it sends a heartbeat each second.
    net::Time silence_timeout = std::chrono::milliseconds(1800);
    /// How long a silent connection is kept.
    net::Time close_timeout = std::chrono::milliseconds(14'400);
    net::Time initial_backoff = std::chrono::milliseconds(50), max_backoff = std::chrono::milliseconds(800);
};

class Watcher {
public:
    /// Largest number of connections that are open at a time.
    static constexpr std::size_t max_subscriptions = 4;

    using OnEvent = std::function<void(const WatchEvent&)>;

    /// `known_event_number` is that of the last event already known. `seed` spreads the reconnects of controllers that
    /// lose the service at the same moment.
    Watcher(net::EventLoop& loop, Log& log, LabelTable labels, net::Address address, std::uint64_t known_event_number,
            OnEvent on_event, std::uint64_t seed, WatchTimeouts timeouts = {});

    /// Watches until the event loop ends.
    void start();
    /// Reconnects to another address of the service; event numbers continue.
    void set_address(net::Address address);
    /// Delivers the events of a newer configuration file that have not been received yet. Events that do not continue
    /// from the last one received are ignored: the service sends them again.
    void apply_known_events(const std::vector<WatchEvent>& events);
    /// Number of the last event applied.
    std::uint64_t last_event_number() const { return sequence_.last_accepted(); }
    /// When the last event arrived, which confirmed that the list of endpoints was up to date.
    std::optional<net::Time> confirmed_at() const { return confirmed_at_; }
    /// Number of connections established so far.
    std::uint64_t connections() const { return connections_; }

private:
    /// An established connection to the service.
    struct Subscription {
        std::shared_ptr<net::Stream> stream;
        bool is_open = true;  // false once the watcher has closed the connection
    };
    using SubscriptionPtr = std::shared_ptr<Subscription>;

    enum class DisconnectReason { not_connected, silent, closed, sequence_gap, malformed_frame, superseded };
    struct Disconnect {
        DisconnectReason reason{};
        FrameError frame_error{};
    };
    static const char* name_of(DisconnectReason reason);

    net::Task<> run();
    net::Task<> wait_for_connect_time();
    void connect_at(net::Time when);
    void subscribe(std::shared_ptr<net::Stream> stream);
    net::Task<> receive(SubscriptionPtr subscription);
    net::Task<Disconnect> read_events(const Subscription& subscription);
    void on_bytes_received();
    void on_event_received(const Subscription& subscription);
    void close_all_except(const Subscription* kept);
    void on_disconnected(const Disconnect& disconnect);
    void log_disconnect(const Disconnect& disconnect);
    net::Time with_jitter(net::Time time);
    net::Time next_backoff();

    net::EventLoop& loop_;
    Log& log_;
    const LabelTable labels_;
    net::Address address_;
    EventSequence sequence_;
    const OnEvent on_event_;
    const WatchTimeouts timeouts_;
    std::vector<SubscriptionPtr> subscriptions_;  // oldest first
    net::Time connect_at_{};                      // when the next connection is opened, unless bytes arrive before
    net::Time last_received_at_ = net::Time::min();
    std::optional<net::Time> confirmed_at_;
    std::uint64_t connections_{};
    int failed_attempts_{};  // consecutive connection attempts without an event
    net::Notification wake_up_;
    Pcg random_;
    const net::Time silence_limit_;  // silence_timeout with jitter
};

}  // namespace plumkeel::discovery
