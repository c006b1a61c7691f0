/// A discovery service for thousands of watchers in one process. It speaks the discovery protocol, sends the changes
/// that are published through it, and counts bytes.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "net/event_loop.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::scale {

/// A watcher states the last event number that it knows on connecting, and is sent all later changes.
class DiscoveryStub {
public:
    /// `loop` must outlive this object.
    DiscoveryStub(net::EventLoop& loop, net::Address address);
    net::Error open();
    /// Resets all connections and stops listening until open() is called.
    void close();
    /// Sends a frame of endpoint changes with this payload to all watchers; returns its event number.
    std::uint64_t publish(const std::string& payload);
    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t accepted_connections() const { return accepted_connections_; }  // number since construction

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
    std::map<std::uint64_t, std::string> changes_;  // encoded frames by event number
    std::uint64_t last_event_number_ = 1, last_watcher_id_{}, bytes_sent_{}, accepted_connections_{};
    bool heartbeats_started_{};
};

}  // namespace plumkeel::scale
