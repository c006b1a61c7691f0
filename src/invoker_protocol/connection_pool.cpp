#include "invoker_protocol/connection_pool.hpp"

#include <algorithm>
#include <limits>

#include "gateway/gateway.hpp"
#include "invoker_protocol/codec.hpp"
#include "net/lazy_timer.hpp"

namespace plumkeel::invoker_protocol {

using namespace std::chrono_literals;
using delivery::Progress;
using delivery::StopCause;

constexpr std::size_t read_at_once = 8 * 1024, line_most = 1024;
constexpr Time half_sent_for =
    90ms;  // a client is gone for 0.1 s at most, and time left overstated by 0.15 s, when an attempt begins
constexpr std::size_t most_borne = 64;  // remembered of a connection: second answers come within milliseconds
constexpr Time unheard_pause = 1ms;

class InvokerConnection : public std::enable_shared_from_this<InvokerConnection> {
public:
    explicit InvokerConnection(ConnectionPool& pool)
        : pool_(pool),
          loop_(pool.loop_),
          idle_(pool.loop_,
                [this] {
                    if (out_.empty()) close();
                }),
          half_(pool.loop_, [this] { spoilt("half_an_answer"); }),
          half_sent_(pool.loop_, [this] {
              if (write_queue_ && write_queue_->sent_bytes() < whole_at_) spoilt("half_an_attempt");
          }) {
        ++pool_.budget_.open_;
    }

    void start() { loop_.spawn(live(shared_from_this(), pool_.address_)); }

    void take(const std::shared_ptr<UpstreamCall>& call, std::string id) {
        ConnectionPool::connection_of(*call) = shared_from_this();
        idle_.clear();
        pool_.budget_.on_busy(*this);
        out_.push_back({std::move(id), call, unwritten, loop_.now()});
        if (write_queue_) {
            ++pool_.counts_.reused;
            put_on();
        }
    }

    // The errand ends by word of the module or by its time. It stays known, so that its late answer is no surprise.
    Progress take_off(UpstreamCall& call, StopCause cause) {
        const auto it = std::find_if(out_.begin(), out_.end(), [&](const Placed& p) { return p.call.get() == &call; });
        if (it == out_.end()) return Progress::may_have_run;
        const Placed placed = *it;
        out_.erase(it);
        ConnectionPool::connection_of(call).reset();
        if (placed.whole_at == unwritten) {
            rest();
            return write_queue_ ? Progress::not_written : Progress::not_connected;
        }
        if (write_queue_->error() && write_queue_->sent_bytes() < placed.whole_at) return Progress::not_written;
        if (!call.has_priority()) bore(placed.id);
        if (!call.has_priority()) write_queue_->send(encode_stop(placed.id));
        // Nothing at all heard for the whole of a probe's time: this connection is of no use, whatever the invoker is.
        if (call.has_priority() && cause == StopCause::timed_out && heard_ <= placed.since) spoilt("silent");
        rest();
        return Progress::may_have_run;
    }

    void close() {
        if (!alive_) return;
        alive_ = false;
        idle_.clear();
        half_.clear();
        half_sent_.clear();
        pool_.budget_.on_busy(*this);
        if (stream_) {
            stream_->close();
            uncount();
        }
        if (write_queue_) write_queue_->abandon();
    }

    // Takes nothing new; goes once nothing is out on it.
    void retire() {
        retired_ = true;
        rest();
    }

    bool takes() const { return alive_ && !retired_; }
    // Whether it idles and its end has come in, though nobody has read it yet. Whatever was written now would be lost.
    bool has_ended() const { return out_.empty() && stream_ && stream_->peer_closed(); }
    std::size_t load() const { return out_.size(); }
    net::Time heard() const { return heard_; }
    bool bears(std::string_view id) const {
        return std::any_of(out_.begin(), out_.end(), [&](const Placed& p) { return p.id == id; });
    }
    std::size_t attempts() const {
        return static_cast<std::size_t>(
            std::count_if(out_.begin(), out_.end(), [](const Placed& p) { return !p.call->has_priority(); }));
    }
    // Whether an attempt of the request has been on this connection and ended: what else it says of that request may be
    // said of that attempt.
    bool has_borne(std::string_view id) const { return std::find(borne_.begin(), borne_.end(), id) != borne_.end(); }
    // What has not begun to leave, taken off: it goes elsewhere.
    void give_back(std::vector<std::shared_ptr<UpstreamCall>>& into) {
        std::erase_if(out_, [&](const Placed& placed) {
            if (placed.whole_at != unwritten) return false;
            ConnectionPool::connection_of(*placed.call).reset();
            into.push_back(placed.call);
            return true;
        });
    }

    // Hops none of whose bytes has left.
    void unsent(std::vector<std::shared_ptr<UpstreamCall>>& into) const {
        for (const Placed& placed : out_)
            if (placed.whole_at == unwritten && !placed.call->has_priority()) into.push_back(placed.call);
    }

private:
    static constexpr std::size_t unwritten = std::numeric_limits<std::size_t>::max();

    struct Placed {
        std::string id;
        std::shared_ptr<UpstreamCall> call;
        std::size_t whole_at;  // bytes of the connection by which all of it has left
        net::Time since;
        bool again{};  // an earlier attempt of the request was on this connection
    };

    // Writes what waits, oldest first, but no more than one hop ahead of what the socket takes: a hop that waits here
    // can still be taken back, when its client leaves or its invoker drains.
    void put_on() {
        // What is known of clients, drains and this connection itself is old while what came meanwhile is not read.
        if (loop_.is_lagging()) return put_on_soon({});
        put_all();
    }

    void put_all() {
        full_ = false;
        for (std::size_t i = 0; i < out_.size() && alive_; ++i) {
            if (out_[i].whole_at != unwritten) continue;
            if (!out_[i].call->has_priority() && client_unheard(*out_[i].call)) {
                put_on_soon(unheard_pause);
                continue;
            }
            if (!out_[i].call->has_priority() && (full_ || write_queue_->pending_bytes() > 0)) continue;
            put(out_[i]);
        }
        const auto waits = [](const Placed& p) { return p.whole_at == unwritten; };
        if (!alive_ || putting_ || (write_queue_->pending_bytes() == 0 && !full_) ||
            std::none_of(out_.begin(), out_.end(), waits))
            return;
        putting_ = true;
        loop_.spawn(put_later(shared_from_this()));
    }

    // Behind a pause of this thread its client may have left: its bytes are read first.
    bool client_unheard(const UpstreamCall& call) const {
        return loop_.was_lagging() && call.request->sink && call.request->sink->has_unread_input();
    }

    void put_on_soon(net::Time pause) {
        if (std::exchange(put_on_due_, true)) return;
        loop_.call_at(loop_.now() + pause, [self = shared_from_this()] {
            self->put_on_due_ = false;
            if (self->alive_) self->put_all();
        });
    }

    net::Task<> put_later(std::shared_ptr<InvokerConnection>) {
        co_await write_queue_->wait_writable();
        putting_ = false;
        if (alive_ && !write_queue_->error()) put_on();
    }

    void put(Placed& placed) {
        const UpstreamCall& call = *placed.call;
        // An invoker can't use a hop without time. Its own limit ends it at this very moment, as never sent.
        if (!call.has_priority() && call.deadline - loop_.now() < 1ms) return;
        // Counted ahead: a connection that breaks under the write has not taken it.
        const std::size_t before = write_queue_->sent_bytes() + write_queue_->pending_bytes();
        if (call.has_priority()) {
            std::string text = encode_probe(placed.id, !pool_.options_.report_fields.empty());
            placed.whole_at = before + text.size();
            write_queue_->send(std::move(text));
        } else if (!put_attempt(placed, before)) {
            return;
        }
        ConnectionPool::mark_sent(*placed.call);
        placed.since = loop_.now();
    }

    // False: no byte of it could leave. One that leaves in part has to be whole soon: it tells the time left of now,
    // and its client may go. Else the connection ends, and it never ran.
    bool put_attempt(Placed& placed, std::size_t before) {
        const gateway::ActiveRequest& request = *placed.call->request;
        std::string head = encode_run(placed.id, static_cast<const NamedRequestClass*>(request.request_class)->name,
                                      request.function->name, request.idempotency_key,
                                      (placed.call->deadline - loop_.now()) / 1ms, request.body->size());
        const std::size_t whole_at = before + head.size() + request.body->size() + body_end.size();
        full_ = !write_queue_->send_if_room(std::move(head), request.body, std::string(body_end));
        if (full_) return false;
        placed.whole_at = whole_at_ = whole_at;
        placed.again = has_borne(placed.id);
        if (write_queue_->pending_bytes() > 0) half_sent_.set(loop_.now() + half_sent_for);
        return true;
    }

    void bore(const std::string& id) {
        borne_.push_back(id);
        if (borne_.size() > most_borne) borne_.pop_front();
    }

    net::Task<> live(std::shared_ptr<InvokerConnection> self, net::Address address) {
        StopCause why = StopCause::connection_lost;
        auto connected = co_await loop_.connect(address, pool_.config_.connect_timeout);
        if (connected.error) {
            why = ConnectionPool::cause_of(connected.error);
            if (why == StopCause::no_connection) ++pool_.counts_.unreachable;
            alive_ = false;
        } else {
            ++pool_.counts_.opened;
            stream_ = std::move(connected.stream);
            if (alive_) co_await talk();
        }
        const bool was_idle = alive_ && out_.empty() && stream_;
        if (was_idle) ++pool_.counts_.closed_idle;
        close();
        alive_ = false;
        pool_.budget_.on_busy(*this);
        uncount();
        if (stream_) stream_->close();
        const auto ends = std::exchange(out_, {});
        const std::size_t sent = write_queue_ ? write_queue_->sent_bytes() : 0;
        pool_.connection_closed(self);
        for (const Placed& placed : ends) {
            ConnectionPool::connection_of(*placed.call).reset();
            const Progress reached = !write_queue_             ? Progress::not_connected
                                     : sent >= placed.whole_at ? Progress::may_have_run
                                                               : Progress::not_written;
            pool_.finish(placed.call, delivery::outcome_of(reached, why));
        }
    }

    net::Task<> talk() {
        write_queue_ = std::make_shared<net::WriteQueue>(loop_, stream_);
        heard_ = loop_.now();
        put_on();
        rest();
        ResponseDecoder reader(line_most, pool_.config_.max_buffered_response);
        std::vector<char> room(read_at_once);
        ResponseMessage answer;
        while (alive_) {
            const net::TransferResult moved = co_await stream_->read(net::asio::buffer(room));
            if (moved.error || !alive_) co_return;
            heard_ = loop_.now();
            std::string_view bytes(room.data(), moved.bytes);
            while (alive_ && reader.next(bytes, answer)) answered(answer);
            if (reader.error() != ResponseError::none) spoilt(name_of(reader.error()));
            if (!alive_) co_return;
            // An answer that has begun and does not come whole holds up all others behind it.
            if (!reader.in_response())
                half_.clear();
            else if (!half_.is_set())
                half_.set(loop_.now() + pool_.config_.response_timeout);
        }
    }

    // An answer under an id that is not out is one called off before, or a second copy: of no consequence.
    void answered(ResponseMessage& answer) {
        const auto it = std::find_if(out_.begin(), out_.end(), [&](const Placed& p) { return p.id == answer.id; });
        if (it == out_.end()) {
            ++pool_.counts_.late_responses;
            return;
        }
        const auto call = it->call;
        const bool again = it->again;
        const bool of_probe = answer.result == "well" || answer.result == "ill";
        if (call->has_priority() != of_probe) return spoilt("wrong_word");
        if (!of_probe) bore(it->id);
        out_.erase(it);
        ConnectionPool::connection_of(*call).reset();
        // It may be a second one to the earlier attempt: what runs under the id is given up, so that nothing else does.
        if (again) write_queue_->send(encode_stop(answer.id));
        gateway::CallResult outcome;
        outcome.outcome = of_probe ? (answer.result == "well" ? AttemptOutcome::succeeded : AttemptOutcome::failed)
                                   : parse_outcome(answer.result);
        outcome.load_event = parse_load_event(answer.fields);
        outcome.concurrent_requests = pool_.options_.reports_concurrency ? parse_concurrency(answer.fields) : 0;
        outcome.report = parse_report(answer.fields, pool_.options_.report_fields);
        outcome.status = 200;
        outcome.body = std::move(answer.body);
        rest();
        pool_.finish(call, std::move(outcome));
        if (alive_) pool_.on_connection_free();
    }

    void spoilt(const char* why) {
        if (!alive_) return;
        ++pool_.counts_.malformed;
        if (pool_.counts_.on_malformed) pool_.counts_.on_malformed(pool_.address_.to_string(), why, out_.size());
        close();
    }

    void rest() {
        if (!out_.empty() || !alive_) return;
        if (retired_) return close();
        idle_.set(loop_.now() + pool_.config_.idle_timeout);
        if (write_queue_) pool_.budget_.on_idle(*this);
    }

    // Once, when its descriptor is free.
    void uncount() {
        if (!std::exchange(counted_, false)) return;
        --pool_.budget_.open_;
        pool_.budget_.schedule_waiting();
    }

    ConnectionPool& pool_;
    net::EventLoop& loop_;
    bool alive_ = true, retired_{}, counted_ = true, putting_{}, put_on_due_{};
    bool full_{};                    // the last attempt found no room for a byte
    std::size_t whole_at_{};         // of the last attempt that was put on
    std::deque<std::string> borne_;  // requests of which an attempt has ended here, the newest last
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::WriteQueue> write_queue_;  // once connected
    std::vector<Placed> out_;
    net::Time heard_{};
    net::LazyTimer idle_, half_, half_sent_;
};

// ---------------------------------------------------------------- the pool

bool ConnectionBudget::evict() {
    if (idle_.empty()) return false;
    idle_.front()->close();
    return true;
}

void ConnectionBudget::on_idle(InvokerConnection& connection) {
    on_busy(connection);
    idle_.push_back(&connection);
    schedule_waiting();
}

void ConnectionBudget::on_busy(InvokerConnection& connection) {
    std::erase(idle_, &connection);
}

void ConnectionBudget::wait(ConnectionPool& pool) {
    if (std::find(waiting_.begin(), waiting_.end(), &pool) == waiting_.end()) waiting_.push_back(&pool);
}

// At the next turn, since whoever frees a connection may be in the middle of its own work.
void ConnectionBudget::schedule_waiting() {
    if (waiting_.empty() || serving_timer_.second) return;
    serving_timer_ = loop_.call_at(loop_.now(), [this] {
        serving_timer_ = {};
        for (std::size_t turns = waiting_.size(); turns > 0 && !waiting_.empty(); --turns) {
            ConnectionPool* const next = waiting_.front();
            waiting_.pop_front();
            next->on_connection_free();
        }
    });
}

// ---------------------------------------------------------------- the connections to one invoker

ConnectionPool::ConnectionPool(net::EventLoop& loop, const PoolConfig& rules, const ResponseOptions& sight,
                               net::Address address, gateway::ConnectionCounts& counts, ConnectionBudget& budget)
    : gateway::ConnectionPool(loop),
      config_(rules),
      options_(sight),
      address_(std::move(address)),
      counts_(counts),
      budget_(budget) {}

ConnectionPool::~ConnectionPool() {
    budget_.remove(*this);
}

bool ConnectionPool::enqueue(const std::shared_ptr<UpstreamCall>& call) {
    if (dispatch(call)) return true;
    if (queue_.size() >= config_.max_queued) return false;
    queue_.push_back(call);
    budget_.wait(*this);
    return true;
}

std::string ConnectionPool::id_of(const UpstreamCall& call) {
    return call.has_priority() ? "p" + std::to_string(++tag_ids_) : call.request->name;
}

// Whether a repeat of what has run, or may have, would take effect again.
static bool may_run_once(const UpstreamCall& call) {
    return call.request->request_class->idempotency != Idempotency::idempotent;
}

// The connection that bears least, or a new one while there may be more. A probe asks the one that has been silent
// longest while something is out on it: it is the one in doubt.
std::shared_ptr<InvokerConnection> ConnectionPool::choose(const UpstreamCall& call) {
    std::shared_ptr<InvokerConnection> best;
    std::shared_ptr<InvokerConnection> borne;  // that bore the request before, which may run but once
    std::size_t takers = 0;  // what only waits for its last answers, at an earlier address, stands in nobody's way
    for (const auto& connection : connections_) {
        if (!connection->takes()) continue;
        if (connection->has_ended()) {
            connection->close();
            continue;
        }
        ++takers;
        if (call.has_priority()) {
            if (!best || (connection->load() > 0 && (best->load() == 0 || connection->heard() < best->heard())))
                best = connection;
            continue;
        }
        if (connection->load() >= config_.max_attempts_per_connection || connection->bears(call.request->name))
            continue;
        if (may_run_once(call) && connection->has_borne(call.request->name)) {
            borne = connection;
            continue;
        }
        if (!best || connection->load() < best->load()) best = connection;
    }
    // A second answer to the earlier attempt could not be told from one to this: it leaves on another connection, for
    // which that one makes way if there may be no more.
    if (borne && !best && takers >= config_.max_connections) {
        borne->retire();
        --takers;
    }
    const bool room = budget_.open() < config_.max_total_connections;
    const bool new_one = !best || (!call.has_priority() && best->load() > 0);
    if (new_one && takers < config_.max_connections && (room || (takers == 0 && budget_.evict()))) {
        best = connections_.emplace_back(std::make_shared<InvokerConnection>(*this));
        best->start();
    }
    return best;
}

bool ConnectionPool::dispatch(const std::shared_ptr<UpstreamCall>& call) {
    const auto connection = choose(*call);
    if (!connection) return false;
    connection->take(call, id_of(*call));
    return true;
}

void ConnectionPool::on_connection_free() {
    while (!queue_.empty()) {
        const auto call = queue_.front();
        if (call->state() != UpstreamCall::State::ended && !dispatch(call)) {
            budget_.wait(*this);
            return;
        }
        queue_.pop_front();
    }
}

void ConnectionPool::connection_closed(const std::shared_ptr<InvokerConnection>& connection) {
    std::erase(connections_, connection);
    on_connection_free();
}

Progress ConnectionPool::remove(UpstreamCall& call, StopCause cause) {
    if (const auto connection = std::static_pointer_cast<InvokerConnection>(connection_of(call)))
        return connection->take_off(call, cause);
    std::erase(queue_, call.shared_from_this());
    return Progress::not_written;
}

void ConnectionPool::cancel_unsent() {
    std::vector<std::shared_ptr<UpstreamCall>> unsent;
    for (const auto& call : queue_)
        if (!call->has_priority()) unsent.push_back(call);
    for (const auto& connection : connections_) connection->unsent(unsent);
    for (const auto& call : unsent) stop(*call, StopCause::cancelled_unsent);
}

void ConnectionPool::set_address(net::Address address) {
    if (address == address_) return;
    address_ = std::move(address);
    // Another may be at the old address by now, also where a connection to it is still coming up.
    std::vector<std::shared_ptr<UpstreamCall>> unsent;
    for (const auto& connection : connections_) connection->give_back(unsent);
    close();
    for (const auto& call : unsent)
        if (!enqueue(call)) finish_soon(call, AttemptOutcome::never_sent);
}

void ConnectionPool::close() {
    for (const auto& connection : std::vector(connections_)) connection->retire();
}

std::size_t ConnectionPool::in_flight_count() const {
    std::size_t n = 0;
    for (const auto& connection : connections_) n += connection->attempts();
    return n;
}

}  // namespace plumkeel::invoker_protocol
