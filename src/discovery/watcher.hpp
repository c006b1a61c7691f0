/// Watches the discovery service over a connection: subscribes from the last event received and delivers new events.
/// Reconnects when the connection closes, skips an event, sends a malformed frame or is silent for too long; meanwhile
/// the last known endpoints stay in use.
#pragma once

#include <functional>
#include <memory>

#include "discovery/event_sequence.hpp"
#include "discovery/frame_decoder.hpp"
#include "log/log.hpp"
#include "net/event_loop.hpp"
#include "net/notification.hpp"
#include "random/pcg.hpp"

namespace plumkeel::discovery {

struct WatchTimeouts {
    net::Time connect_timeout = std::chrono::seconds(1);
    /// Longest wait for the next event; the service sends a heartbeat each second.
    net::Time silence_timeout = std::chrono::milliseconds(1800);
    net::Time initial_backoff = std::chrono::milliseconds(50), max_backoff = std::chrono::milliseconds(800);
};

class Watcher {
public:
    using OnEvent = std::function<void(const WatchEvent&)>;

    /// `known_event_number` is that of the last event already known. `seed` spreads the reconnects of controllers that
    /// lose the service at the same moment.
    Watcher(net::EventLoop& loop, Log& log, LabelTable labels, net::Address address, std::uint64_t known_event_number,
            OnEvent on_event, std::uint64_t seed, WatchTimeouts timeouts = {});

    /// Watches until the event loop ends.
    void start();
    /// Reconnects to another address of the service; event numbers continue.
    void set_address(net::Address address);
    /// Number of the last event applied.
    std::uint64_t last_event_number() const { return sequence_.last_accepted(); }
    /// When the last event arrived, which confirmed that the list of endpoints was up to date.
    std::optional<net::Time> confirmed_at() const { return confirmed_at_; }
    /// Number of connections established so far.
    std::uint64_t connections() const { return connections_; }

private:
    enum class DisconnectReason { not_connected, silent, closed, sequence_gap, address_changed, malformed_frame };
    struct Disconnect {
        DisconnectReason reason{};
        FrameError frame_error{};
    };
    static const char* name_of(DisconnectReason reason);

    net::Task<> run();
    net::Task<Disconnect> receive(std::shared_ptr<net::Stream> stream);
    void log_disconnect(const Disconnect& disconnect);
    net::Time next_backoff();

    net::EventLoop& loop_;
    Log& log_;
    const LabelTable labels_;
    net::Address address_;
    EventSequence sequence_;
    const OnEvent on_event_;
    const WatchTimeouts timeouts_;
    std::shared_ptr<net::Stream> stream_;
    std::optional<net::Time> confirmed_at_;
    std::uint64_t connections_{};
    int failed_attempts_{};     // consecutive connection attempts without an event
    int silent_connections_{};  // consecutive connections without an event before their timeout
    bool address_changed_{};
    net::Notification wake_up_;
    Pcg random_;
};

}  // namespace plumkeel::discovery
