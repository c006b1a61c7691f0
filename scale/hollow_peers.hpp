// Peers of the real program without insides, thousands in one process: a discovery service, watchers of it, invokers,
// and a client. They speak the platform's protocols and count bytes; nothing is decided here.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "net/event_loop.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::scale {

// Serves the list's changes to whoever asks, each from the number that it says it has.
class HollowDiscovery {
public:
    HollowDiscovery(net::EventLoop& loop, net::Address address);
    net::Error open();
    // Ends all connections and listens no more until open().
    void vanish();
    // Tells everyone; returns the change's number. `payload` is that of a frame of changes.
    std::uint64_t tell(const std::string& payload);
    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t connections() const { return connections_; }  // that came up, over its life

private:
    net::Task<> accept(std::shared_ptr<net::Listener> listener);
    net::Task<> serve(std::shared_ptr<net::Stream> stream);
    net::Task<> beat();
    void send(net::WriteQueue& write_queue, const std::string& frame);

    net::EventLoop& loop_;
    const net::Address address_;
    std::shared_ptr<net::Listener> listener_;
    std::map<std::uint64_t, std::pair<std::shared_ptr<net::Stream>, std::shared_ptr<net::WriteQueue>>> open_;
    std::map<std::uint64_t, std::string> changes_;  // frames by their numbers
    std::uint64_t last_ = 1, accepted_{}, bytes_sent_{}, connections_{};
    bool beating_{};
};

// A watcher as the program is one, without a controller behind it.
class HollowWatcher {
public:
    // `told` is called with each change's number.
    HollowWatcher(net::EventLoop& loop, net::Address discovery, std::uint64_t seed,
                  std::function<void(std::uint64_t)> told);
    bool connected() const { return connected_; }

private:
    net::Task<> run();

    net::EventLoop& loop_;
    const net::Address discovery_;
    const std::function<void(std::uint64_t)> told_;
    std::uint64_t seed_, last_ = 1;
    bool connected_{};
};

// One listener on the wildcard address answers for all invokers on loopback, each in its run time.
class HollowInvokers {
public:
    HollowInvokers(net::EventLoop& loop, std::uint16_t port, net::Time run);
    net::Error open();
    std::uint64_t connections() const { return connections_; }  // that came up, as are the next two
    std::uint64_t runs() const { return runs_; }
    std::uint64_t probes() const { return probes_; }
    std::uint64_t bytes() const { return bytes_; }  // both ways

private:
    net::Task<> accept();
    net::Task<> serve(std::shared_ptr<net::Stream> stream);
    net::Task<> answer(std::shared_ptr<net::WriteQueue> write_queue, std::string id);
    // Takes whole messages off the front of `got`.
    void take(std::string& got, const std::shared_ptr<net::WriteQueue>& write_queue);
    void send(net::WriteQueue& write_queue, std::string text);

    net::EventLoop& loop_;
    const std::uint16_t port_;
    const net::Time run_;
    std::shared_ptr<net::Listener> listener_;
    std::uint64_t connections_{}, runs_{}, probes_{}, bytes_{};
};

// A web server's connection to one controller.
class HollowClient {
public:
    HollowClient(net::EventLoop& loop, net::Address controller);
    // One attempt to connect and to be told that the controller is healthy.
    net::Task<bool> healthy();
    net::Task<> open(std::size_t connections);
    void call(const std::string& function);
    void close();
    std::uint64_t sent() const { return sent_; }
    std::uint64_t served() const { return served_; }
    std::uint64_t ended() const { return ended_; }
    double mean_ms() const { return served_ ? waited_ms_ / static_cast<double>(served_) : 0; }

private:
    struct Connection {
        std::shared_ptr<net::Stream> stream;
        std::shared_ptr<net::WriteQueue> write_queue;
        std::map<int, net::Time> sent;  // when each open request was sent
    };
    net::Task<> listen(std::shared_ptr<Connection> connection);
    void take(std::string& got, Connection& connection);

    net::EventLoop& loop_;
    const net::Address controller_;
    std::vector<std::shared_ptr<Connection>> connections_;
    std::uint64_t sent_{}, served_{}, ended_{};
    double waited_ms_{};
};

}  // namespace plumkeel::scale
