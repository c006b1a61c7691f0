/// Accepts FastCGI connections up to admission's limit. At the limit, a new connection replaces one that never sent a
/// request, or else the one that has been idle longest, or else one whose request stays incomplete.
#pragma once

#include <map>
#include <optional>
#include <unordered_set>

#include "gateway/gateway.hpp"
#include "net/notification.hpp"

namespace plumkeel::fastcgi {

class Connection;

/// URL paths that the server handles.
struct Paths {
    std::string health = "/_health", requests = "/invoke/";  // a request class follows `requests`
};

class Server {
public:
    explicit Server(gateway::Gateway& gateway, Paths paths = {});
    ~Server();

    net::Error open();
    /// Stops accepting connections and requests; calls `on_closed` once all responses have been written and all
    /// connections are closed.
    void close(std::function<void()> on_closed);
    net::Address address() const { return listener_->address(); }
    std::size_t connections() const { return connections_.size(); }

    gateway::Gateway& gateway() { return gateway_; }
    const Paths& paths() const { return paths_; }
    void on_connection_closed(const std::shared_ptr<Connection>& connection);
    /// Client-assigned ids of the open requests of all connections: another request with an open id is rejected.
    std::unordered_set<std::string>& open_request_ids() { return open_request_ids_; }

private:
    net::Task<> accept();
    net::Task<> handle_accept_error(net::Error error);
    net::Task<> wait_connection_closed(net::Time max_wait);
    net::Task<> make_room_for_connection();
    void note_backlog(net::Time delay);
    net::Time accept_delay() const;
    std::shared_ptr<Connection> connection_to_close() const;
    bool has_unread_input() const;
    void close_when_read(int checks_left);
    void check_drained();

    gateway::Gateway& gateway_;
    const Paths paths_;
    std::shared_ptr<net::Listener> listener_;
    std::map<std::uint64_t, std::shared_ptr<Connection>> connections_;  // by id, in the order of accept
    std::unordered_set<std::string> open_request_ids_;
    std::uint64_t last_connection_id_{};
    int waiting_connections_{};  // accepted connections that wait for another to close
    std::optional<net::Time> backlog_since_;
    bool gateway_drained_{};
    net::Notification connection_closed_;
    std::function<void()> on_drained_;
};

}  // namespace plumkeel::fastcgi
