/// A discovery service that sends what it is given, for thousands of watchers in one process. It speaks the platform's
/// protocol and counts bytes; it decides nothing.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "net/event_loop.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::scale {

/// Each watcher gets the changes behind the event number that it says it has.
class DiscoveryStub {
public:
    /// `loop` must outlive this.
    DiscoveryStub(net::EventLoop& loop, net::Address address);
    net::Error open();
    /// Ends all connections and does not listen until open().
    void close();
    /// Sends a change to all; returns its event number. `payload` is that of a frame of changes.
    std::uint64_t publish(const std::string& payload);
    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t accepted_connections() const { return accepted_connections_; }  // since its start

private:
    struct Watcher {
        std::shared_ptr<net::Stream> stream;
        std::shared_ptr<net::WriteQueue> write_queue;
    };

    net::Task<> accept(std::shared_ptr<net::Listener> listener);
    net::Task<> serve(std::shared_ptr<net::Stream> stream);
    net::Task<> send_heartbeats();
    void send(net::WriteQueue& write_queue, const std::string& frame);

    net::EventLoop& loop_;
    const net::Address address_;
    std::shared_ptr<net::Listener> listener_;
    std::map<std::uint64_t, Watcher> watchers_;
    std::map<std::uint64_t, std::string> changes_;  // frames by event number
    std::uint64_t last_event_ = 1, last_watcher_{}, bytes_sent_{}, accepted_connections_{};
    bool heartbeats_started_{};
};

}  // namespace plumkeel::scale
