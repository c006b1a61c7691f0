/// What the coroutines of Clients share.
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
    void controller_killed() { stopped_ = controller_killed_ = true; }

    enum class Reading { until_closed, none };
    /// A faulty client's connection: it sends `bytes`, and reads until it is closed, or not at all for a while.
    void send_faulty(std::string bytes, Reading reading);
    void send_malformed();

private:
    struct Connection {
        std::shared_ptr<net::Stream> stream;
        std::shared_ptr<net::WriteQueue> write_queue;
        std::map<int, std::size_t> pending;       // places of requests, by their number on this connection
        std::map<int, std::string> partial_text;  // of their answers
        net::Time last_used{};
        int next_number = 1;
        bool exclusive{};  // for one request, whose client closes it
        bool ended{};
    };
    struct RequestBody {
        std::string function, body;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    net::Task<> run(std::function<void()> on_ready);
    net::Task<bool> is_healthy();
    net::Task<> send_requests();
    void send_drawn_request();
    std::size_t add_request(Request request, RequestBody body);
    Request new_request();
    std::string request_message(std::size_t place, int number) const;
    net::Task<> send(std::size_t place, bool exclusive, std::optional<net::Time> abandon_after);
    net::Task<ConnectionPointer> open_connection(bool exclusive);
    ConnectionPointer reusable_connection() const;
    void abandon(std::size_t place, const ConnectionPointer& connection, int number);
    net::Task<> read(ConnectionPointer connection);
    net::Task<> close_when_idle(ConnectionPointer connection);
    void handle_records(std::string& buffer, Connection& connection);
    void handle_answer(Connection& connection, int number);
    void handle_lost_connection(const ConnectionPointer& connection);
    void end(const ConnectionPointer& connection);
    net::Task<> run_faulty(std::string bytes, Reading reading);
    net::Task<> run_malformed();

    net::EventLoop& loop_;
    const ClientOptions options_;
    std::vector<Request>& requests_;
    Pcg random_;
    std::uint64_t last_id_;
    std::vector<ConnectionPointer> connections_;
    std::map<std::size_t, RequestBody> bodies_;                       // by place of the request
    std::map<std::pair<Connection*, int>, std::size_t> answered_by_;  // requests answered, for what comes again
    bool stopped_{}, controller_killed_{};
};

}  // namespace plumkeel::soak
