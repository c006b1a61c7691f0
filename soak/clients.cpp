#include "soak/clients.hpp"

#include <cmath>

#include "emulator/protocol_bytes.hpp"
#include "soak/lines.hpp"

namespace plumkeel::soak {
namespace {

using namespace std::chrono_literals;
using net::Task;
using net::Time;

constexpr Time connect_limit = 1s, health_poll = 20ms, idle_for = 4s, crossing = 50ms;
constexpr std::size_t functions = 40, record_head = 8;
constexpr int open_most = 32;
constexpr Time deaf_for = 5s;

const char* class_of(UseOf use) {
    static constexpr const char* names[] = {"preview", "tagged", "ledger"};
    return names[static_cast<int>(use)];
}

}  // namespace

struct Clients::State : std::enable_shared_from_this<Clients::State> {
    struct Connection {
        std::shared_ptr<net::Stream> stream;
        std::shared_ptr<net::WriteQueue> write_queue;
        std::map<int, std::size_t> open;  // requests in the books, by their number here
        std::map<int, std::string> text;  // of their answers, as far as they have come
        Time used{};
        int next_number = 1;
        bool alone{};  // for one request, whose client closes it
        bool ended{};
    };

    State(net::EventLoop& w, ClientPlan p, std::vector<Request>& b)
        : loop(w), plan(std::move(p)), books(b), random(plan.seed), next_id(plan.first_id) {}

    Task<> start(std::function<void()> ready) {
        const auto self = shared_from_this();
        while (!ended && !(co_await healthy())) co_await loop.sleep(health_poll);
        if (ended) co_return;
        ready();
        loop.spawn(send_on());
    }

    Task<bool> healthy() {
        const auto connected = co_await loop.connect(plan.controller, connect_limit);
        if (connected.error) co_return false;
        const auto write_queue = std::make_shared<net::WriteQueue>(loop, connected.stream);
        write_queue->send(bytes::message(1, {{"SCRIPT_NAME", "/_health"}}));
        std::string got;
        std::vector<char> room(512);
        auto stream = connected.stream;
        auto limit = loop.call_at(loop.now() + connect_limit, [stream] { stream->close(); });
        while (got.find("\r\n\r\n") == std::string::npos) {
            const net::TransferResult moved = co_await stream->read(net::asio::buffer(room));
            if (moved.error) break;
            got.append(room.data(), moved.bytes);
        }
        loop.cancel(limit);
        stream->close();
        co_return got.find("Status: 200") != std::string::npos;
    }

    Task<> send_on() {
        const auto self = shared_from_this();
        while (!ended) {
            co_await loop.sleep(Time(static_cast<Time::rep>(-std::log(1 - random.next()) / plan.per_second * 1e6)));
            if (ended) co_return;
            send_one();
        }
    }

    void send_one() {
        const double kind = random.next();
        Request it;
        it.id = ++next_id;
        it.use = kind < 0.7 ? UseOf::preview : kind < 0.85 ? UseOf::tagged : UseOf::ledger;
        it.controller = plan.number;
        it.life = plan.life;
        it.budget_ms = random.next() < 0.03 ? 2 + static_cast<int>(random.next() * 30)
                                            : 300 + static_cast<int>(random.next() * 2200);
        const bool leaves = random.next() < 0.06, closes = leaves && random.next() < 0.5;
        const std::size_t at = books.size();
        books.push_back(it);
        const Time patience(static_cast<Time::rep>(random.next() * it.budget_ms * 1000));
        std::string text_key = bytes::hex16(static_cast<std::uint64_t>(functions * random.next() * random.next()));
        bodies[at] = {text_key, std::string(random.next() < 0.2 ? 9000 : 40, 'b')};
        loop.spawn(send(at, closes, leaves ? std::optional<Time>(patience) : std::nullopt));
    }

    std::string message_of(std::size_t at, int number) const {
        const Request& it = books[at];
        bytes::Fields fields = {{"SCRIPT_NAME", std::string("/invoke/") + class_of(it.use)},
                                {"HTTP_REQUEST_ID", bytes::hex16(it.id)},
                                {"HTTP_BUDGET_MS", std::to_string(it.budget_ms)},
                                {"HTTP_ACCOUNT", "acme"},
                                {"HTTP_RESOURCE_KEY", bodies.at(at).first},
                                {"HTTP_X_TAGS", "memory_mb:64;lanes:4"}};
        if (it.use == UseOf::tagged) fields.emplace_back("HTTP_ONCE_KEY", "once-" + bytes::hex16(it.id));
        return bytes::message(number, fields, bodies.at(at).second);
    }

    std::shared_ptr<Connection> free_connection() {
        std::shared_ptr<Connection> best;
        std::size_t count = 0;
        for (const auto& each : connections) {
            if (each->ended || each->alone) continue;
            ++count;
            if (each->open.size() < open_most && (!best || each->open.size() < best->open.size())) best = each;
        }
        return best && (best->open.empty() || count >= plan.connections) ? best : nullptr;
    }

    Task<> send(std::size_t at, bool alone, std::optional<Time> leaves_after) {
        const auto self = shared_from_this();
        std::shared_ptr<Connection> connection = alone ? nullptr : free_connection();
        if (!connection) {
            const auto connected = co_await loop.connect(plan.controller, connect_limit);
            if (connected.error) {
                books[at].well = true;
                books[at].with_the_process = true;  // it was never sent: nobody took it
                books[at].answered_us = never;
                books[at].gone_us = books[at].sent_us = now_us();
                co_return;
            }
            connection = std::make_shared<Connection>();
            connection->stream = connected.stream;
            connection->write_queue = std::make_shared<net::WriteQueue>(loop, connected.stream);
            connection->alone = alone;
            connections.push_back(connection);
            loop.spawn(read(connection));
        }
        const int number = connection->next_number++;
        connection->open[number] = at;
        connection->used = loop.now();
        connection->write_queue->send(message_of(at, number));
        books[at].sent_us = now_us();
        if (!leaves_after) co_return;
        co_await loop.sleep(*leaves_after);
        if (books[at].answers > 0 || connection->ended || !connection->open.count(number)) co_return;
        books[at].gone_us = now_us();
        if (alone)
            end(connection);
        else
            connection->write_queue->send(bytes::record(2, number, ""));
    }

    Task<> read(std::shared_ptr<Connection> it) {
        const auto self = shared_from_this();
        std::string got;
        std::vector<char> room(16 * 1024);
        loop.spawn(close_idle(it));
        for (;;) {
            const net::TransferResult moved = co_await it->stream->read(net::asio::buffer(room));
            if (moved.error) break;
            got.append(room.data(), moved.bytes);
            take(got, *it);
        }
        if (!it->ended) cut(it);
    }

    Task<> close_idle(std::shared_ptr<Connection> it) {
        const auto self = shared_from_this();
        while (!it->ended) {
            co_await loop.sleep(200ms);
            if (!it->ended && it->open.empty() && loop.now() - it->used > idle_for) end(it);
        }
    }

    // Whole records off the front of what has come.
    void take(std::string& got, Connection& it) {
        while (got.size() >= record_head) {
            const auto byte = [&](std::size_t i) {
                return static_cast<std::size_t>(static_cast<unsigned char>(got[i]));
            };
            const std::size_t length = byte(4) << 8 | byte(5), whole = record_head + length + byte(6);
            if (got.size() < whole) return;
            const int number = static_cast<int>(byte(2) << 8 | byte(3));
            if (byte(1) == 6) it.text[number] += got.substr(record_head, length);
            if (byte(1) == 3) answered(it, number);
            got.erase(0, whole);
        }
    }

    void answered(Connection& it, int number) {
        const auto found = it.open.find(number);
        const std::string text = std::exchange(it.text[number], {});
        it.text.erase(number);
        if (found == it.open.end()) {
            if (const auto before = it_answered.find({&it, number}); before != it_answered.end())
                ++books[before->second].answers;
            return;
        }
        Request& request = books[found->second];
        it_answered[{&it, number}] = found->second;
        it.open.erase(found);
        it.used = loop.now();
        if (request.gone_us != never && text.empty()) return;  // it was taken back
        ++request.answers;
        request.answered_us = now_us();
        const auto body = text.find("\r\n\r\n");
        request.well = text.starts_with("Status: ") && body != std::string::npos;
        if (!request.well) return;
        request.status = std::atoi(text.c_str() + 8);
        if (request.status == 200) request.well = text.substr(body + 4) == "made for " + bytes::hex16(request.id);
    }

    // The controller has ended the connection, or the machine has.
    void cut(const std::shared_ptr<Connection>& it) {
        const auto open = it->open;
        end(it);
        for (const auto& [number, at] : open) {
            Request& request = books[at];
            if (request.answers > 0 || request.gone_us != never) continue;
            if (gone_with_process) {
                request.with_the_process = true;
            } else if (!request.sent_again && now_us() - request.sent_us < crossing / 1us && open.size() == 1) {
                request.sent_again = true;
                loop.spawn(send(at, false, std::nullopt));
            } else {
                request.cut_us = now_us();
            }
        }
    }

    void end(const std::shared_ptr<Connection>& it) {
        if (std::exchange(it->ended, true)) return;
        it->write_queue->abandon();
        it->stream->close();
        std::erase(connections, it);
        std::erase_if(it_answered, [&](const auto& each) { return each.first.first == it.get(); });
    }

    enum class Reading { until_closed, nothing };
    // A connection of a bad client, which says this and then nothing: it reads until it is closed, or nothing for a
    // while.
    Task<> bad(std::string text, Reading reading) {
        const auto self = shared_from_this();
        const auto connected = co_await loop.connect(plan.controller, connect_limit);
        if (connected.error) co_return;
        const auto stream = connected.stream;
        const auto write_queue = std::make_shared<net::WriteQueue>(loop, stream);
        write_queue->send(std::move(text));
        if (reading == Reading::nothing) co_await loop.sleep(deaf_for);
        std::vector<char> room(4096);
        while (reading == Reading::until_closed && !(co_await stream->read(net::asio::buffer(room))).error) {
        }
        write_queue->abandon();
        stream->close();
    }

    // A request, and then bytes that are none: the request was taken before.
    Task<> malformed() {
        const auto self = shared_from_this();
        Request it;
        it.id = ++next_id;
        it.controller = plan.number;
        it.life = plan.life;
        it.budget_ms = 1500;
        const std::size_t at = books.size();
        books.push_back(it);
        bodies[at] = {bytes::hex16(1), "b"};
        co_await send(at, true, std::nullopt);
        co_await loop.sleep(5ms);
        for (const auto& each : connections)
            if (each->alone && each->open.size() == 1 && each->open.begin()->second == at)
                each->write_queue->send("\x07 no record at all");
    }

    net::EventLoop& loop;
    const ClientPlan plan;
    std::vector<Request>& books;
    Pcg random;
    std::uint64_t next_id;
    std::vector<std::shared_ptr<Connection>> connections;
    std::map<std::size_t, std::pair<std::string, std::string>> bodies;  // function and body, by place in the books
    std::map<std::pair<Connection*, int>, std::size_t> it_answered;
    bool ended{}, gone_with_process{};
};

Clients::Clients(net::EventLoop& loop, ClientPlan plan, std::vector<Request>& books)
    : state_(std::make_shared<State>(loop, std::move(plan), books)) {}

Clients::~Clients() {
    state_->ended = true;
}

void Clients::begin(std::function<void()> ready) {
    state_->loop.spawn(state_->start(std::move(ready)));
}

void Clients::end_sending() {
    state_->ended = true;
}

void Clients::killed() {
    state_->ended = state_->gone_with_process = true;
}

void Clients::flood_halves(int count) {
    std::string halves;
    for (int number = 1; number <= 32; ++number) {
        const std::string whole =
            bytes::message(number, {{"SCRIPT_NAME", "/invoke/preview"}}, std::string(15'000, 'h'));
        halves += whole.substr(0, whole.size() - 8);
    }
    for (int i = 0; i < count; ++i) state_->loop.spawn(state_->bad(halves, State::Reading::until_closed));
}

void Clients::idle(int count) {
    for (int i = 0; i < count; ++i)
        state_->loop.spawn(
            state_->bad(i % 2 ? "" : bytes::message(1, {{"SCRIPT_NAME", "/_health"}}), State::Reading::until_closed));
}

void Clients::read_nothing(int count) {
    std::string text;
    for (int i = 0; i < 400; ++i) text += bytes::message(1 + i % 20, {{"SCRIPT_NAME", "/invoke/nothing"}});
    for (int i = 0; i < count; ++i) state_->loop.spawn(state_->bad(text, State::Reading::nothing));
}

void Clients::malformed_behind_a_request() {
    state_->loop.spawn(state_->malformed());
}

}  // namespace plumkeel::soak
