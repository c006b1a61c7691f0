// Where clients connect: accepts FastCGI connections within the door's bounds. When they are used up, a connection
// that never said anything goes first, then the one that has idled longest, then the new one.
#pragma once

#include <map>
#include <optional>
#include <unordered_set>

#include "gateway/gateway.hpp"
#include "net/notification.hpp"

namespace plumkeel::fastcgi {

class Connection;

struct Paths {
    std::string health = "/_health", requests = "/invoke/";
};

class Server {
public:
    explicit Server(gateway::Gateway& gateway, Paths paths = {});
    ~Server();

    net::Error open();
    // Accepts no more connections and takes no more jobs; calls `then` once every open job has its answer and every
    // answer has left.
    void close(std::function<void()> then);
    net::Address address() const { return listener_->address(); }
    std::size_t connections() const { return connections_.size(); }

    gateway::Gateway& gateway() { return gateway_; }
    const Paths& paths() const { return paths_; }
    void connection_closed(const std::shared_ptr<Connection>& sink);
    // The names of open jobs: a second one under a name that is open is not taken.
    std::unordered_set<std::string>& open_request_ids() { return open_request_ids_; }

private:
    net::Task<> accept();
    // Waits until a connection has left, or for so long.
    net::Task<> wait_connection_closed(net::Time at_most);
    net::Task<> make_room();
    void note_backlog(net::Time waited);
    net::Time waited_unaccepted() const;
    std::shared_ptr<Connection> least_needed() const;
    void close_idle(int looks);
    void check_drained();

    gateway::Gateway& gateway_;
    const Paths paths_;
    std::shared_ptr<net::Listener> listener_;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;  // in the order in which they came
    std::unordered_set<std::string> open_request_ids_;
    std::uint64_t connection_ids_{};
    int waiting_connections_{};  // connections that are accepted and not read yet
    std::optional<net::Time> backlog_since_;
    bool gateway_drained_{};
    net::Notification connection_closed_;
    std::function<void()> on_drained_;
};

}  // namespace plumkeel::fastcgi
