#include "web/pool.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "gateway/gateway.hpp"
#include "http/http.hpp"
#include "orca/orca.hpp"
#include "web/protocol.hpp"

namespace plumkeel::web {

using namespace std::chrono_literals;
namespace bh = http::bh;
namespace field = protocol::field;
using proof::Cause;
using proof::ending_of;
using proof::Reached;

constexpr std::size_t light_connections = 2;  // past the cap, for probes and orders

class Connection : public std::enable_shared_from_this<Connection> {
public:
    explicit Connection(ConnectionPool& pool)
        : pool_(pool), world_(pool.world_), idle_(pool.world_, [this] {
              if (!errand_) close();
          }) {}

    void start(std::shared_ptr<Errand> errand) {
        take(std::move(errand));
        world_.spawn(live(shared_from_this(), pool_.address_));
    }

    // Puts the errand's bytes on an idle line. False: it turned out closed, and nothing of it was written.
    bool carry(const std::shared_ptr<Errand>& errand) {
        idle_.clear();
        if (!alive_ || stream_->ended()) {
            close();
            return false;
        }
        take(errand);
        if (put()) {
            ++pool_.counts_.reused;
            return true;
        }
        let_go();
        close();
        return false;
    }

    void close() {
        alive_ = false;
        idle_.clear();
        if (stream_) stream_->close();
        if (outbox_) outbox_->abandon();
    }

    Reached reached() const {
        if (!stream_) return Reached::nothing_connected;
        return outbox_->sent() > sent_before_ ? Reached::may_have_run : Reached::not_written;
    }

    std::shared_ptr<Errand> let_go() {
        if (errand_) ConnectionPool::carrier(*errand_).reset();
        return std::exchange(errand_, nullptr);
    }

    // The hop whose connection is still being made, if there is one.
    std::shared_ptr<Errand> unsent() const {
        return errand_ && !errand_->light() && reached() != Reached::may_have_run ? errand_ : nullptr;
    }

    bool bears_hop() const { return errand_ && !errand_->light(); }

    void rest() { idle_.set(world_.now() + pool_.rules_.idle_for); }

private:
    void take(std::shared_ptr<Errand> errand) {
        errand_ = std::move(errand);
        ConnectionPool::carrier(*errand_) = shared_from_this();
        ConnectionPool::leaves(*errand_);
    }

    bool put() {
        sent_before_ = outbox_->sent();
        outbox_->send(pool_.head_of(*errand_), errand_->ward ? errand_->ward->body : nullptr);
        return !outbox_->broken() || outbox_->sent() > sent_before_;
    }

    net::Task<> live(std::shared_ptr<Connection> self, net::Address address) {
        auto connected = co_await world_.connect(address, pool_.rules_.connect_within);
        if (connected.error) {
            const Cause why = ConnectionPool::cause_of(connected.error);
            if (why == Cause::no_connection) ++pool_.counts_.unreachable;
            alive_ = false;
            if (const auto errand = let_go()) pool_.end(errand, ending_of(Reached::nothing_connected, why));
            pool_.connection_gone(self);
            co_return;
        }
        ++pool_.counts_.opened;
        stream_ = std::move(connected.stream);
        outbox_ = std::make_shared<net::Outbox>(world_, stream_);
        http::Inbox inbox(stream_, 256 * 1024);
        if (!alive_) {
            stream_->close();  // what it was opened for was called off
        } else if (errand_ && put()) {
            while (alive_) {
                const bool on = co_await answer(inbox);
                if (!on || !alive_) break;
                if (!errand_) pool_.connection_free(self);
            }
        }
        const bool was_idle = alive_ && !errand_;
        close();
        if (was_idle) ++pool_.counts_.broke_idle;
        if (const auto errand = let_go()) pool_.end(errand, ending_of(reached(), Cause::connection_broke));
        pool_.connection_gone(self);
    }

    // Reads one answer and ends its errand. False: the line can't be used further.
    net::Task<bool> answer(http::Inbox& inbox) {
        bh::response_parser<bh::string_body> parser;
        parser.header_limit(64 * 1024);
        parser.body_limit(boost::none);
        parser.eager(true);
        bool streaming = false;
        do {
            net::Error error;
            if (inbox.held() == 0 || parser.got_some()) error = co_await inbox.more();
            if (error == net::asio::error::eof) {
                if (!parser.got_some() || !errand_) co_return false;
                error = {};
                parser.put_eof(error);
                if (error || !parser.is_done()) co_return false;
                break;
            }
            if (error || !alive_) co_return false;
            if (!errand_) co_return false;  // bytes that answer nothing
            if (inbox.feed(parser)) co_return false;
            if (parser.is_header_done() && parser.get().result_int() / 100 == 1) co_return false;
            if (!streaming && is_large(parser)) {
                std::string passed;
                protocol::read_own(parser.get(), &passed);
                if (!errand_->begins(parser.get().result_int(), passed)) {
                    const auto errand = let_go();
                    pool_.end(errand, Ending::called_off);
                    co_return false;
                }
                streaming = true;
                ConnectionPool::set_state(*errand_, Errand::State::streaming);
                pool_.unlimit(*errand_);
            }
            if (streaming && !parser.get().body().empty()) {
                errand_->part(std::exchange(parser.get().body(), {}));
                const auto errand = errand_;
                const bool on = co_await errand->room();
                if (!on || !alive_) co_return false;
            }
        } while (!parser.is_done());
        if (!errand_) co_return false;
        const bool reusable = parser.keep_alive() && outbox_->pending() == 0;
        finish(parser);
        co_return reusable;
    }

    template <class Parser>
    bool is_large(Parser& parser) const {
        if (!parser.is_header_done() || parser.is_done() || errand_->light()) return false;
        const auto& message = parser.get();
        if (protocol::ending_of(message.result_int(), http::field(message, protocol::field::never_ran)) != Ending::honoured)
            return false;
        const auto length = parser.content_length();
        return message.body().size() > pool_.rules_.answer_held || (length && *length > pool_.rules_.answer_held);
    }

    template <class Parser>
    void finish(Parser& parser) {
        Outcome outcome;
        const auto own = protocol::read_own(parser.get(), &outcome.passed);
        outcome.status = parser.get().result_int();
        outcome.ending = protocol::ending_of(outcome.status, own.never_ran);
        outcome.note = protocol::note_of(own.note);
        outcome.company = std::clamp(http::number<int>(own.company).value_or(0), 0, 1000);
        outcome.copies = std::clamp(http::number<int>(own.copies).value_or(0), 0, 1000);
        outcome.report = orca::read(own.report);
        outcome.body = std::move(parser.get().body());
        pool_.end(let_go(), std::move(outcome));
    }

    ConnectionPool& pool_;
    net::World& world_;
    bool alive_ = true;
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::Outbox> outbox_;
    std::shared_ptr<Errand> errand_;
    std::size_t sent_before_{};
    net::Limit idle_;  // how long it may lie unused
};

ConnectionPool::ConnectionPool(net::World& world, const PoolRules& rules, net::Address address, gateway::ConnectionCounts& counts, std::string teller)
    : gateway::ConnectionPool(world), rules_(rules), address_(std::move(address)), counts_(counts), teller_(std::move(teller)) {}

ConnectionPool::~ConnectionPool() = default;

bool ConnectionPool::carry(const std::shared_ptr<Errand>& errand) {
    if (dispatch(errand)) return true;
    if (queue_.size() >= rules_.queued) return false;
    queue_.push_back(errand);
    return true;
}

// A hop's head differs from hop to hop in its first lines alone; the rest is written once for each job.
std::string ConnectionPool::head_of(Errand& errand) const {
    switch (errand.kind) {
        case Errand::Kind::probe:
            return fmt::format("GET /v1/load HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n\r\n", errand.invoker, field::controller, teller_);
        case Errand::Kind::hold_copies:
        case Errand::Kind::drop_copies: {
            const std::string copies = errand.copies > 0 ? fmt::format("{}: {}\r\n", field::copies, errand.copies) : "";
            return fmt::format("{} /v1/copies/{} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}Content-Length: 0\r\n\r\n",
                               errand.copies > 0 ? "PUT" : "DELETE", http::encoded(errand.function), errand.invoker,
                               field::controller, teller_, copies);
        }
        case Errand::Kind::hop:
            break;
    }
    gateway::Ward& ward = *errand.ward;
    if (ward.tail.empty()) {
        http::HeadWriter tail("");
        tail.add(field::controller, teller_).add(field::job, static_cast<std::int64_t>(ward.id));
        tail.add(field::use_case, static_cast<const StatedUseCase*>(ward.use_case)->name);
        if (!ward.mark.empty()) tail.add(field::mark, ward.mark);
        tail.add(field::lanes, static_cast<std::int64_t>(ward.lanes));
        if (ward.memory) tail.add(field::memory, static_cast<std::int64_t>(*ward.memory));
        tail.lines(ward.passed).add("Content-Length", static_cast<std::int64_t>(ward.body->size()));
        ward.tail = tail.done().substr(2);
    }
    return fmt::format("POST /v1/run/{} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: {}\r\n{}", http::encoded(ward.function->name),
                       errand.invoker, field::hop, errand.hop->number, field::limit, errand.hop->limit / 1ms, ward.tail);
}

// Puts the errand on an idle line or a new one; false where it has to wait for one.
bool ConnectionPool::dispatch(const std::shared_ptr<Errand>& errand) {
    while (!idle_.empty() && !errand->fresh_connection) {
        const auto connection = idle_.back();
        idle_.pop_back();
        if (connection->carry(errand)) return true;
    }
    if (connections_.size() >= rules_.most + (errand->light() ? light_connections : 0)) {
        if (errand->fresh_connection && !idle_.empty()) {  // an idle line makes way for a new one
            idle_.front()->close();
            idle_.erase(idle_.begin());
        }
        return false;
    }
    connections_.push_back(std::make_shared<Connection>(*this));
    connections_.back()->start(errand);
    return true;
}

void ConnectionPool::connection_free(const std::shared_ptr<Connection>& connection) {
    idle_.push_back(connection);
    connection->rest();
    while (!queue_.empty()) {
        const auto errand = queue_.front();
        if (errand->state() == Errand::State::ended) {
            queue_.pop_front();
            continue;
        }
        if (!dispatch(errand)) break;
        queue_.pop_front();
    }
}

void ConnectionPool::connection_gone(const std::shared_ptr<Connection>& connection) {
    std::erase(connections_, connection);
    std::erase(idle_, connection);
    while (!queue_.empty()) {
        const auto errand = queue_.front();
        if (errand->state() != Errand::State::ended && !dispatch(errand)) break;
        queue_.pop_front();
    }
}

// What is on a line takes the line with it.
Reached ConnectionPool::take_off(Errand& errand, Cause) {
    Reached reached = Reached::not_written;
    if (const auto connection = std::static_pointer_cast<Connection>(carrier(errand))) {
        reached = connection->reached();
        connection->let_go();
        connection->close();
    }
    std::erase(queue_, errand.shared_from_this());
    return reached;
}

void ConnectionPool::withdraw() {
    std::vector<std::shared_ptr<Errand>> unsent;
    for (const auto& errand : queue_)
        if (!errand->light()) unsent.push_back(errand);
    for (const auto& connection : connections_)
        if (const auto errand = connection->unsent()) unsent.push_back(errand);
    for (const auto& errand : unsent) stop(*errand, Cause::withdrawn);
}

void ConnectionPool::move_to(net::Address address) {
    if (address == address_) return;
    address_ = std::move(address);
    for (const auto& connection : std::exchange(idle_, {})) connection->close();
}

void ConnectionPool::close() {
    for (const auto& connection : std::exchange(idle_, {})) connection->close();
}

std::size_t ConnectionPool::out() const {
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(), [](const auto& connection) { return connection->bears_hop(); }));
}

}  // namespace plumkeel::web
