#include "soak/proxy.hpp"

#include <iostream>

#include "soak/invoker_messages.hpp"

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using net::Task;
using net::Time;

constexpr Time poll_interval = 5ms, connect_timeout = 1s;
constexpr std::size_t max_held_bytes = 1024 * 1024;  // beyond this, nothing more is read from the controller
constexpr std::size_t read_buffer_bytes = 16 * 1024;
constexpr Time uncertain_duration = 200ms;  // after reading resumes, the send time of messages is uncertain

}  // namespace

NetworkProxy::NetworkProxy(const ProxyOptions& options)
    : options_(options), events_(options.event_path), control_(options.control_path, ControlFile::Mode::open) {}

net::Error NetworkProxy::open() {
    for (const auto& route : options_.routes) {
        auto listened = loop_.listen(*net::Address::parse(route.listen));
        if (listened.error) return listened.error;
        loop_.spawn(accept(listened.listener, route));
    }
    poll_controls();
    return {};
}

Task<> NetworkProxy::accept(std::shared_ptr<net::Listener> listener, ProxyOptions::Route route) {
    for (;;) {
        const auto accepted = co_await listener->accept();
        if (accepted.error) continue;
        if (control(route.invoker_number).network == NetworkState::refusing) {
            accepted.stream->reset();
            continue;
        }
        loop_.spawn(forward(accepted.stream, route));
    }
}

Task<> NetworkProxy::forward(std::shared_ptr<net::Stream> controller_stream, ProxyOptions::Route route) {
    const auto connection = std::make_shared<Connection>();
    connection->invoker_number = route.invoker_number;
    connection->controller_stream = controller_stream;
    connection->to_controller = std::make_shared<net::WriteQueue>(loop_, controller_stream);
    const net::Address target = *net::Address::parse(route.target);
    const auto connected = co_await loop_.connect(target, connect_timeout);
    if (connected.error) co_return controller_stream->reset();
    connection->invoker_stream = connected.stream;
    connection->to_invoker = std::make_shared<net::WriteQueue>(loop_, connected.stream);
    connections_.insert(connection);
    loop_.spawn(read_invoker(connection));
    co_await read_controller(connection);
    end(connection, false);
}

Task<> NetworkProxy::read_controller(std::shared_ptr<Connection> connection) {
    std::string buffer;
    std::vector<char> chunk(read_buffer_bytes);
    Time uncertain_until{};
    const InvokerControl& controls = control(connection->invoker_number);
    while (!connection->ended) {
        const bool waited = co_await wait_until_reading_allowed(connection);
        if (waited) uncertain_until = loop_.now() + uncertain_duration;
        const net::TransferResult read = co_await connection->controller_stream->read(net::asio::buffer(chunk));
        if (read.error) co_return;
        const std::string_view bytes(chunk.data(), read.bytes);
        buffer += bytes;
        const bool uncertain = loop_.now() < uncertain_until || controls.network == NetworkState::reading_stopped;
        record_messages(buffer, *connection, uncertain ? time_uncertain : 0);
        if (const std::uint32_t delay = controls.to_invoker_delay_ms; delay > 0)
            co_await loop_.sleep(std::chrono::milliseconds(delay));
        if (controls.network == NetworkState::partitioned || !connection->held_for_invoker.empty())
            connection->held_for_invoker += bytes;
        else
            connection->to_invoker->send(std::string(bytes));
    }
}

// Waits while the proxy must not read from the controller; returns whether it had to wait.
Task<bool> NetworkProxy::wait_until_reading_allowed(std::shared_ptr<Connection> connection) {
    bool waited = false;
    while (!connection->ended && (control(connection->invoker_number).network == NetworkState::reading_stopped ||
                                  connection->held_for_invoker.size() > max_held_bytes)) {
        co_await loop_.sleep(poll_interval);
        waited = true;
    }
    co_return waited;
}

void NetworkProxy::record_messages(std::string& buffer, Connection& connection, std::uint32_t flags) {
    while (const auto message = take_controller_message(buffer)) {
        if (message->words.size() < 2) continue;
        const std::string& id = message->words[1];
        if (message->words.front() == run_message) {
            const int remaining_ms = number_field(message->words[2], "patience=");
            events_.write(EventType::attempt_received, request_id(id), connection.invoker_number, remaining_ms, flags);
            connection.in_flight_ids.insert(id);
        } else if (message->words.front() == cancel_message) {
            events_.write(EventType::cancel_received, request_id(id), connection.invoker_number, 0, flags);
            connection.in_flight_ids.erase(id);
        }
    }
}

Task<> NetworkProxy::read_invoker(std::shared_ptr<Connection> connection) {
    std::string buffer;
    std::vector<char> chunk(read_buffer_bytes);
    const InvokerControl& controls = control(connection->invoker_number);
    while (!connection->ended) {
        const net::TransferResult read = co_await connection->invoker_stream->read(net::asio::buffer(chunk));
        if (read.error) break;
        const std::string_view bytes(chunk.data(), read.bytes);
        buffer += bytes;
        while (const auto message = take_message(buffer, [](const auto&) { return true; }))
            connection->in_flight_ids.erase(message->words.front());
        if (controls.network == NetworkState::partitioned || !connection->held_for_controller.empty())
            connection->held_for_controller += bytes;
        else
            connection->to_controller->send(std::string(bytes));
    }
    // While the network is partitioned, the controller must not see that the invoker closed the connection.
    while (!connection->ended && controls.network == NetworkState::partitioned) co_await loop_.sleep(poll_interval);
    end(connection, true);
}

void NetworkProxy::end(const std::shared_ptr<Connection>& connection, bool reset) {
    if (std::exchange(connection->ended, true)) return;
    connections_.erase(connection);
    connection->to_controller->abandon();
    connection->to_invoker->abandon();
    if (reset)
        connection->controller_stream->reset();
    else
        connection->controller_stream->close();
    connection->invoker_stream->close();
}

void NetworkProxy::poll_controls() {
    for (const auto& route : options_.routes) {
        const InvokerControl& controls = control(route.invoker_number);
        ControlCounts& last_counts = last_counts_[route.invoker_number];
        const bool reset = controls.reset_count != last_counts.reset_count;
        const bool close_idle = controls.idle_close_count != last_counts.idle_close_count;
        last_counts = {controls.reset_count, controls.idle_close_count};
        for (const auto& connection : std::set(connections_)) {
            if (connection->invoker_number != route.invoker_number) continue;
            if (controls.network != NetworkState::partitioned) release_held(*connection);
            if (reset || (close_idle && connection->in_flight_ids.empty())) end(connection, reset);
        }
    }
    loop_.call_at(loop_.now() + poll_interval, [this] { poll_controls(); });
}

void NetworkProxy::release_held(Connection& connection) {
    if (!connection.held_for_invoker.empty())
        connection.to_invoker->send(std::exchange(connection.held_for_invoker, {}));
    if (!connection.held_for_controller.empty())
        connection.to_controller->send(std::exchange(connection.held_for_controller, {}));
}

int run_proxy(const ProxyOptions& options) {
    NetworkProxy proxy(options);
    if (const net::Error error = proxy.open()) {
        std::cerr << "proxy cannot listen: " << error.message() << '\n';
        return 1;
    }
    proxy.run();
    return 0;
}

}  // namespace plumkeel::soak
