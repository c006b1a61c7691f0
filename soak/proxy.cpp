#include "soak/proxy.hpp"

#include <iostream>
#include <map>
#include <set>

#include "net/socket_event_loop.hpp"
#include "net/write_queue.hpp"
#include "soak/control.hpp"
#include "soak/events.hpp"
#include "soak/lines.hpp"

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using net::Task;
using net::Time;

constexpr Time look_every = 5ms, connect_limit = 1s;
constexpr std::size_t held_most = 1024 * 1024;  // bytes of a direction that is held up; beyond, reading waits
constexpr Time unsure_for = 200ms;              // what is read so soon after reading began again may have come before

class Proxy {
public:
    explicit Proxy(const ProxyPlan& plan)
        : plan_(plan), events_(plan.record), control_(plan.control, ControlFile::Mode::open) {}

    net::Error open() {
        for (const auto& way : plan_.ways) {
            auto listened = loop_.listen(*net::Address::parse(way.listen));
            if (listened.error) return listened.error;
            loop_.spawn(accept(listened.listener, way));
        }
        look();
        return {};
    }
    void run() { loop_.run(); }

private:
    struct Connection {
        std::uint32_t invoker{};
        std::shared_ptr<net::Stream> near, far;  // of the controller, and of the invoker
        std::shared_ptr<net::WriteQueue> to_near, to_far;
        std::string held_near, held_far;  // bytes for them, while the network is cut
        std::set<std::string> out;
        bool ended{};
    };

    Slot& slot(std::uint32_t invoker) { return control_.slot(invoker); }

    Task<> accept(std::shared_ptr<net::Listener> listener, ProxyPlan::Way way) {
        for (;;) {
            const auto accepted = co_await listener->accept();
            if (accepted.error) continue;
            if (slot(way.invoker).passing == Passing::refused) {
                accepted.stream->reset();
                continue;
            }
            loop_.spawn(pass(accepted.stream, way));
        }
    }

    Task<> pass(std::shared_ptr<net::Stream> near, ProxyPlan::Way way) {
        const auto connection = std::make_shared<Connection>();
        connection->invoker = way.invoker;
        connection->near = near;
        connection->to_near = std::make_shared<net::WriteQueue>(loop_, near);
        const net::Address to = *net::Address::parse(way.to);
        const auto connected = co_await loop_.connect(to, connect_limit);
        if (connected.error) co_return near->reset();
        connection->far = connected.stream;
        connection->to_far = std::make_shared<net::WriteQueue>(loop_, connected.stream);
        connections_.insert(connection);
        loop_.spawn(read_far(connection));
        co_await read_near(connection);
        end(connection, false);
    }

    Task<> read_near(std::shared_ptr<Connection> it) {
        std::string got;
        std::vector<char> room(16 * 1024);
        Time unsure_until{};
        while (!it->ended) {
            bool waited = false;
            while (!it->ended && (slot(it->invoker).passing == Passing::unread || it->held_far.size() > held_most)) {
                co_await loop_.sleep(look_every);
                waited = true;
            }
            if (waited) unsure_until = loop_.now() + unsure_for;
            const net::TransferResult moved = co_await it->near->read(net::asio::buffer(room));
            if (moved.error) co_return;
            const std::string_view bytes(room.data(), moved.bytes);
            got += bytes;
            const bool unsure = loop_.now() < unsure_until || slot(it->invoker).passing == Passing::unread;
            note(got, *it, unsure ? held_up : 0);
            if (const std::uint32_t delay = slot(it->invoker).delay_ms; delay > 0)
                co_await loop_.sleep(std::chrono::milliseconds(delay));
            if (slot(it->invoker).passing == Passing::held || !it->held_far.empty())
                it->held_far += bytes;
            else
                it->to_far->send(std::string(bytes));
        }
    }

    void note(std::string& got, Connection& it, std::uint32_t flags) {
        const auto has_body = [](const std::vector<std::string>& words) { return words.front() == "RUN"; };
        while (const auto message = take_message(got, has_body)) {
            if (message->words.size() < 2) continue;
            const std::string& id = message->words[1];
            if (message->words.front() == "RUN") {
                events_.write(What::run_came, request_of(id), it.invoker, figure_of(message->words[2], "patience="),
                              flags);
                it.out.insert(id);
            } else if (message->words.front() == "STOP") {
                events_.write(What::stop_came, request_of(id), it.invoker, 0, flags);
                it.out.erase(id);
            }
        }
    }

    Task<> read_far(std::shared_ptr<Connection> it) {
        std::string got;
        std::vector<char> room(16 * 1024);
        while (!it->ended) {
            const net::TransferResult moved = co_await it->far->read(net::asio::buffer(room));
            if (moved.error) break;
            const std::string_view bytes(room.data(), moved.bytes);
            got += bytes;
            while (const auto message = take_message(got, [](const auto&) { return true; }))
                it->out.erase(message->words.front());
            if (slot(it->invoker).passing == Passing::held || !it->held_near.empty())
                it->held_near += bytes;
            else
                it->to_near->send(std::string(bytes));
        }
        // A machine that is cut off says nothing of its end either.
        while (!it->ended && slot(it->invoker).passing == Passing::held) co_await loop_.sleep(look_every);
        end(it, true);
    }

    void end(const std::shared_ptr<Connection>& it, bool reset) {
        if (std::exchange(it->ended, true)) return;
        connections_.erase(it);
        it->to_near->abandon();
        it->to_far->abandon();
        if (reset)
            it->near->reset();
        else
            it->near->close();
        it->far->close();
    }

    void look() {
        for (const auto& way : plan_.ways) {
            Slot& mine = slot(way.invoker);
            auto& [resets, idle_ends] = seen_[way.invoker];
            const bool reset = mine.reset_count != resets, idle_end = mine.idle_end_count != idle_ends;
            resets = mine.reset_count;
            idle_ends = mine.idle_end_count;
            for (const auto& each : std::set(connections_)) {
                if (each->invoker != way.invoker) continue;
                if (mine.passing != Passing::held) release(*each);
                if (reset || (idle_end && each->out.empty())) end(each, reset);
            }
        }
        loop_.call_at(loop_.now() + look_every, [this] { look(); });
    }

    static void release(Connection& it) {
        if (!it.held_far.empty()) it.to_far->send(std::exchange(it.held_far, {}));
        if (!it.held_near.empty()) it.to_near->send(std::exchange(it.held_near, {}));
    }

    const ProxyPlan plan_;
    net::SocketEventLoop loop_;
    EventFile events_;
    ControlFile control_;
    std::set<std::shared_ptr<Connection>> connections_;
    std::map<std::uint32_t, std::pair<std::uint32_t, std::uint32_t>>
        seen_;  // of each invoker: resets and idle ends asked for
};

}  // namespace

int run_proxy(const ProxyPlan& plan) {
    Proxy proxy(plan);
    if (const net::Error error = proxy.open()) {
        std::cerr << "the proxy can't listen: " << error.message() << '\n';
        return 1;
    }
    proxy.run();
    return 0;
}

}  // namespace plumkeel::soak
