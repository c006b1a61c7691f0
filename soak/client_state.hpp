/// State and coroutines behind the class Clients.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/socket_event_loop.hpp"
#include "net/write_queue.hpp"
#include "random/pcg.hpp"
#include "soak/clients.hpp"

namespace plumkeel::soak {

class ClientState : public std::enable_shared_from_this<ClientState> {
public:
    ClientState(net::EventLoop& loop, ClientOptions options, std::vector<Request>& requests);

    void start(std::function<void()> on_ready);
    void stop_sending() { stopped_ = true; }
    void handle_controller_killed() { stopped_ = controller_killed_ = true; }

    enum class ReadMode { until_closed, none };
    /// Sends `bytes` on a new connection. With `ReadMode::until_closed` it then reads until the controller closes the
    /// connection; with `ReadMode::none` it reads nothing and closes the connection after some seconds.
    void open_faulty_connection(std::string bytes, ReadMode read_mode);
    /// Sends a valid request followed by malformed bytes, on a new connection.
    void send_malformed_record();

private:
    struct Connection {
        std::shared_ptr<net::Stream> stream;
        std::shared_ptr<net::WriteQueue> write_queue;
        std::map<int, std::size_t> pending;       // indexes into requests_, by FastCGI request ID
        std::map<int, std::string> partial_text;  // answers received so far, by FastCGI request ID
        net::Time last_used{};
        int next_fastcgi_id = 1;
        bool exclusive{};  // carries one request; abandoning the request closes the connection
        bool ended{};
    };
    struct RequestContent {
        std::string function, body;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    net::Task<> run(std::function<void()> on_ready);
    net::Task<bool> is_healthy();
    net::Task<> send_requests();
    void send_random_request();
    std::size_t add_request(Request request, RequestContent content);
    Request new_request();
    std::string request_message(std::size_t request_index, int fastcgi_id) const;
    net::Task<> send(std::size_t request_index, bool exclusive, std::optional<net::Time> abandon_after);
    net::Task<ConnectionPointer> open_connection(bool exclusive);
    ConnectionPointer reusable_connection() const;
    void abandon(std::size_t request_index, const ConnectionPointer& connection, int fastcgi_id);
    net::Task<> read(ConnectionPointer connection);
    net::Task<> close_when_idle(ConnectionPointer connection);
    void handle_records(std::string& buffer, Connection& connection);
    void handle_answer(Connection& connection, int fastcgi_id);
    void handle_lost_connection(const ConnectionPointer& connection);
    void end(const ConnectionPointer& connection);
    net::Task<> run_faulty_connection(std::string bytes, ReadMode read_mode);
    net::Task<> run_malformed_client();

    net::EventLoop& loop_;
    const ClientOptions options_;
    std::vector<Request>& requests_;
    Pcg random_;
    std::uint64_t last_request_id_;
    std::vector<ConnectionPointer> connections_;
    std::map<std::size_t, RequestContent> contents_;  // functions and bodies of requests, by index into requests_
    std::map<std::pair<Connection*, int>, std::size_t>
        answered_requests_;  // indexes into requests_, by connection and FastCGI request ID
    bool stopped_{}, controller_killed_{};
};

}  // namespace plumkeel::soak
