#include "soak/invoker.hpp"

#include <cmath>
#include <iostream>
#include <map>
#include <set>

#include "net/socket_event_loop.hpp"
#include "net/write_queue.hpp"
#include "random/pcg.hpp"
#include "soak/control.hpp"
#include "soak/events.hpp"
#include "soak/lines.hpp"

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using net::Task;
using net::Time;

constexpr Time run_time = 40ms, load_time = 150ms, idle_limit = 9s;
constexpr std::size_t lanes = 24, loaded_most = 12;
constexpr std::uint32_t million = 1'000'000;

class Invoker {
public:
    explicit Invoker(const InvokerPlan& plan)
        : plan_(plan), events_(plan.record), control_(plan.control, ControlFile::Mode::open), random_(plan.seed) {}

    net::Error open() {
        auto listened = loop_.listen(*net::Address::parse(plan_.listen));
        if (listened.error) return listened.error;
        listener_ = std::move(listened.listener);
        loop_.spawn(accept());
        return {};
    }
    void run() { loop_.run(); }

private:
    struct Running {
        bool stopped{};
    };
    struct Connection {
        std::shared_ptr<net::Stream> stream;
        std::shared_ptr<net::WriteQueue> write_queue;
        std::map<std::string, std::shared_ptr<Running>> running;
    };

    Task<> accept() {
        for (;;) {
            const auto accepted = co_await listener_->accept();
            if (accepted.error) continue;
            const auto connection = std::make_shared<Connection>();
            connection->stream = accepted.stream;
            connection->write_queue = std::make_shared<net::WriteQueue>(loop_, accepted.stream);
            loop_.spawn(serve(connection));
        }
    }

    Task<> serve(std::shared_ptr<Connection> connection) {
        std::string got;
        std::vector<char> room(16 * 1024);
        for (;;) {
            const net::TransferResult moved = co_await connection->stream->read(net::asio::buffer(room));
            if (moved.error) break;
            got.append(room.data(), moved.bytes);
            const auto has_body = [](const std::vector<std::string>& words) { return words.front() == "RUN"; };
            while (const auto message = take_message(got, has_body)) take(*message, connection);
        }
        for (auto& [id, running] : connection->running) running->stopped = true;
        connection->write_queue->abandon();
        connection->stream->close();
    }

    void take(const Message& message, const std::shared_ptr<Connection>& connection) {
        const std::string& word = message.words.front();
        if (message.words.size() < 2) return;
        const std::string& id = message.words[1];
        if (word == "INFO" || word == "NOOP") {
            connection->write_queue->send(id + " well l=active:" + std::to_string(active_) + ";waiting:0 0\r\n\r\n");
        } else if (word == "STOP") {
            if (const auto found = connection->running.find(id); found != connection->running.end())
                found->second->stopped = true;
        } else if (word == "RUN") {
            loop_.spawn(work(message, id, connection));
        }
    }

    bool happens(const std::atomic<std::uint32_t>& rate) {
        return rate > 0 && random_.next() * million < static_cast<double>(rate.load());
    }

    Task<> work(Message message, std::string id, std::shared_ptr<Connection> connection) {
        Slot& slot = control_.slot(plan_.number);
        const std::string function = message.words[2].substr(message.words[2].find("asset=") + 6, 16);
        const std::uint64_t request = request_of(id);
        if (active_ >= lanes || happens(slot.full)) {
            events_.write(What::run_refused, request, plan_.number);
            co_return answer(connection, id, "full", "peers_in=1", "");
        }
        events_.write(What::run_began, request, plan_.number);
        const auto running = std::make_shared<Running>();
        connection->running[id] = running;
        ++active_;
        const char* note = "reused";
        double takes = static_cast<double>(run_time.count()) * std::exp(0.5 * (random_.next() + random_.next() - 1));
        takes *= std::max(1.0, static_cast<double>(active_) / 6) * slot.slowness / 100;
        if (!loaded_.count(function)) {
            note = "init";
            takes += static_cast<double>(load_time.count());
            if (loaded_.size() >= loaded_most) loaded_.erase(loaded_.begin());
            loaded_.insert(function);
        }
        co_await loop_.sleep(Time(static_cast<Time::rep>(takes)));
        --active_;
        connection->running.erase(id);
        events_.write(What::run_ended, request, plan_.number);
        if (running->stopped || happens(slot.unanswered)) co_return;
        if (happens(slot.failing)) co_return answer(connection, id, "failed", "-", "");
        answer(connection, id, "data", "n=" + std::string(note), "made for " + id);
    }

    void answer(const std::shared_ptr<Connection>& connection, const std::string& id, const std::string& word,
                const std::string& fields, const std::string& body) {
        const std::string text =
            id + " " + word + " " + fields + " " + std::to_string(body.size()) + "\r\n" + body + "\r\n";
        connection->write_queue->send(text);
        if (!happens(control_.slot(plan_.number).twice)) return;
        loop_.call_at(loop_.now() + 3ms, [connection, text] { connection->write_queue->send(text); });
    }

    const InvokerPlan plan_;
    net::SocketEventLoop loop_;
    EventFile events_;
    ControlFile control_;
    Pcg random_;
    std::shared_ptr<net::Listener> listener_;
    std::size_t active_{};
    std::set<std::string> loaded_;
};

}  // namespace

int run_invoker(const InvokerPlan& plan) {
    Invoker invoker(plan);
    if (const net::Error error = invoker.open()) {
        std::cerr << plan.listen << ": " << error.message() << '\n';
        return 1;
    }
    invoker.run();
    return 0;
}

}  // namespace plumkeel::soak
