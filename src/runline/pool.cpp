#include "runline/pool.hpp"

#include <algorithm>
#include <limits>

#include "gateway/gateway.hpp"
#include "net/limit.hpp"
#include "runline/words.hpp"

namespace plumkeel::runline {

using namespace std::chrono_literals;
using proof::Cause;
using proof::Reached;

constexpr std::size_t read_at_once = 8 * 1024, line_most = 1024;
constexpr Time half_sent_for = 90ms;  // a client is gone for 0.1 s at most, and time left overstated by 0.15 s, when an attempt begins
constexpr std::size_t most_borne = 64;  // remembered of a connection: second answers come within milliseconds
constexpr Time unheard_pause = 1ms;

class Connection : public std::enable_shared_from_this<Connection> {
public:
    explicit Connection(ConnectionPool& pool)
        : pool_(pool),
          world_(pool.world_),
          idle_(pool.world_, [this] {
              if (out_.empty()) close();
          }),
          half_(pool.world_, [this] { spoilt("half_an_answer"); }),
          half_sent_(pool.world_, [this] {
              if (outbox_ && outbox_->sent() < whole_at_) spoilt("half_an_attempt");
          }) {
        ++pool_.budget_.open_;
    }

    void start() { world_.spawn(live(shared_from_this(), pool_.address_)); }

    void take(const std::shared_ptr<Errand>& errand, std::string id) {
        ConnectionPool::carrier(*errand) = shared_from_this();
        idle_.clear();
        pool_.budget_.busy(*this);
        out_.push_back({std::move(id), errand, unwritten, world_.now()});
        if (outbox_) {
            ++pool_.counts_.reused;
            put_on();
        }
    }

    // The errand ends by word of the module or by its time. It stays known, so that its late answer is no surprise.
    Reached take_off(Errand& errand, Cause cause) {
        const auto it = std::find_if(out_.begin(), out_.end(), [&](const Placed& p) { return p.errand.get() == &errand; });
        if (it == out_.end()) return Reached::may_have_run;
        const Placed placed = *it;
        out_.erase(it);
        ConnectionPool::carrier(errand).reset();
        if (placed.whole_at == unwritten) {
            rest();
            return outbox_ ? Reached::not_written : Reached::nothing_connected;
        }
        if (outbox_->broken() && outbox_->sent() < placed.whole_at) return Reached::not_written;
        if (!errand.light()) bore(placed.id);
        if (!errand.light()) outbox_->send(stop(placed.id));
        // Nothing at all heard for the whole of a probe's time: this connection is of no use, whatever the invoker is.
        if (errand.light() && cause == Cause::time_ran_out && heard_ <= placed.since) spoilt("silent");
        rest();
        return Reached::may_have_run;
    }

    void close() {
        if (!alive_) return;
        alive_ = false;
        idle_.clear();
        half_.clear();
        half_sent_.clear();
        pool_.budget_.busy(*this);
        if (stream_) {
            stream_->close();
            uncount();
        }
        if (outbox_) outbox_->abandon();
    }

    // Takes nothing new; goes once nothing is out on it.
    void retire() {
        retired_ = true;
        rest();
    }

    bool takes() const { return alive_ && !retired_; }
    // Whether it idles and its end has come in, though nobody has read it yet. Whatever was written now would be lost.
    bool has_ended() const { return out_.empty() && stream_ && stream_->ended(); }
    std::size_t load() const { return out_.size(); }
    net::Time heard() const { return heard_; }
    bool bears(std::string_view id) const {
        return std::any_of(out_.begin(), out_.end(), [&](const Placed& p) { return p.id == id; });
    }
    std::size_t hops() const {
        return static_cast<std::size_t>(std::count_if(out_.begin(), out_.end(), [](const Placed& p) { return !p.errand->light(); }));
    }
    // Whether an attempt of the request has been on this connection and ended: what else it says of that request may be
    // said of that attempt.
    bool has_borne(std::string_view id) const { return std::find(borne_.begin(), borne_.end(), id) != borne_.end(); }
    // What has not begun to leave, taken off: it goes elsewhere.
    void give_back(std::vector<std::shared_ptr<Errand>>& into) {
        std::erase_if(out_, [&](const Placed& placed) {
            if (placed.whole_at != unwritten) return false;
            ConnectionPool::carrier(*placed.errand).reset();
            into.push_back(placed.errand);
            return true;
        });
    }

    // Hops none of whose bytes has left.
    void unsent(std::vector<std::shared_ptr<Errand>>& into) const {
        for (const Placed& placed : out_)
            if (placed.whole_at == unwritten && !placed.errand->light()) into.push_back(placed.errand);
    }

private:
    static constexpr std::size_t unwritten = std::numeric_limits<std::size_t>::max();

    struct Placed {
        std::string id;
        std::shared_ptr<Errand> errand;
        std::size_t whole_at;  // bytes of the connection by which all of it has left
        net::Time since;
        bool again{};  // an earlier attempt of the request was on this connection
    };

    // Writes what waits, oldest first, but no more than one hop ahead of what the socket takes: a hop that waits here
    // can still be taken back, when its client leaves or its invoker drains.
    void put_on() {
        // What is known of clients, drains and this connection itself is old while what came meanwhile is not read.
        if (world_.is_behind()) return put_on_soon({});
        put_all();
    }

    void put_all() {
        full_ = false;
        for (std::size_t i = 0; i < out_.size() && alive_; ++i) {
            if (out_[i].whole_at != unwritten) continue;
            if (!out_[i].errand->light() && client_unheard(*out_[i].errand)) {
                put_on_soon(unheard_pause);
                continue;
            }
            if (!out_[i].errand->light() && (full_ || outbox_->pending() > 0)) continue;
            put(out_[i]);
        }
        const auto waits = [](const Placed& p) { return p.whole_at == unwritten; };
        if (!alive_ || putting_ || (outbox_->pending() == 0 && !full_) || std::none_of(out_.begin(), out_.end(), waits)) return;
        putting_ = true;
        world_.spawn(put_later(shared_from_this()));
    }

    // Behind a pause of this thread its client may have left: its bytes are read first.
    bool client_unheard(const Errand& errand) const {
        return world_.was_behind() && errand.ward->visit && errand.ward->visit->unread();
    }

    void put_on_soon(net::Time pause) {
        if (std::exchange(put_on_due_, true)) return;
        world_.at(world_.now() + pause, [self = shared_from_this()] {
            self->put_on_due_ = false;
            if (self->alive_) self->put_all();
        });
    }

    net::Task<> put_later(std::shared_ptr<Connection>) {
        co_await outbox_->writable();
        putting_ = false;
        if (alive_ && !outbox_->broken()) put_on();
    }

    void put(Placed& placed) {
        const Errand& errand = *placed.errand;
        // An invoker can't use a hop without time. Its own limit ends it at this very moment, as never sent.
        if (!errand.light() && errand.until - world_.now() < 1ms) return;
        // Counted ahead: a connection that breaks under the write has not taken it.
        const std::size_t before = outbox_->sent() + outbox_->pending();
        if (errand.light()) {
            std::string text = probe(placed.id, !pool_.sight_.report_fields.empty());
            placed.whole_at = before + text.size();
            outbox_->send(std::move(text));
        } else if (!put_attempt(placed, before)) {
            return;
        }
        ConnectionPool::leaves(*placed.errand);
        placed.since = world_.now();
    }

    // False: no byte of it could leave. One that leaves in part has to be whole soon: it tells the time left of now, and
    // its client may go. Else the connection ends, and it never ran.
    bool put_attempt(Placed& placed, std::size_t before) {
        const gateway::Ward& ward = *placed.errand->ward;
        std::string head = run(placed.id, static_cast<const StatedUseCase*>(ward.use_case)->name, ward.function->name, ward.mark,
                               (placed.errand->until - world_.now()) / 1ms, ward.body->size());
        const std::size_t whole_at = before + head.size() + ward.body->size() + body_end.size();
        full_ = !outbox_->send_if_room(std::move(head), ward.body, std::string(body_end));
        if (full_) return false;
        placed.whole_at = whole_at_ = whole_at;
        placed.again = has_borne(placed.id);
        if (outbox_->pending() > 0) half_sent_.set(world_.now() + half_sent_for);
        return true;
    }

    void bore(const std::string& id) {
        borne_.push_back(id);
        if (borne_.size() > most_borne) borne_.pop_front();
    }

    net::Task<> live(std::shared_ptr<Connection> self, net::Address address) {
        Cause why = Cause::connection_broke;
        auto connected = co_await world_.connect(address, pool_.rules_.connect_within);
        if (connected.error) {
            why = ConnectionPool::cause_of(connected.error);
            if (why == Cause::no_connection) ++pool_.counts_.unreachable;
            alive_ = false;
        } else {
            ++pool_.counts_.opened;
            stream_ = std::move(connected.stream);
            if (alive_) co_await talk();
        }
        const bool was_idle = alive_ && out_.empty() && stream_;
        if (was_idle) ++pool_.counts_.broke_idle;
        close();
        alive_ = false;
        pool_.budget_.busy(*this);
        uncount();
        if (stream_) stream_->close();
        const auto ends = std::exchange(out_, {});
        const std::size_t sent = outbox_ ? outbox_->sent() : 0;
        pool_.connection_gone(self);
        for (const Placed& placed : ends) {
            ConnectionPool::carrier(*placed.errand).reset();
            const Reached reached = !outbox_ ? Reached::nothing_connected : sent >= placed.whole_at ? Reached::may_have_run : Reached::not_written;
            pool_.end(placed.errand, proof::ending_of(reached, why));
        }
    }

    net::Task<> talk() {
        outbox_ = std::make_shared<net::Outbox>(world_, stream_);
        heard_ = world_.now();
        put_on();
        rest();
        Reader reader(line_most, pool_.rules_.answer_held);
        std::vector<char> room(read_at_once);
        Answer answer;
        while (alive_) {
            const net::Moved moved = co_await stream_->read(net::asio::buffer(room));
            if (moved.error || !alive_) co_return;
            heard_ = world_.now();
            std::string_view bytes(room.data(), moved.bytes);
            while (alive_ && reader.next(bytes, answer)) answered(answer);
            if (reader.broken() != Broken::none) spoilt(word_of(reader.broken()));
            if (!alive_) co_return;
            // An answer that has begun and does not come whole holds up all others behind it.
            if (!reader.midway())
                half_.clear();
            else if (!half_.is_set())
                half_.set(world_.now() + pool_.rules_.answer_within);
        }
    }

    // An answer under an id that is not out is one called off before, or a second copy: of no consequence.
    void answered(Answer& answer) {
        const auto it = std::find_if(out_.begin(), out_.end(), [&](const Placed& p) { return p.id == answer.id; });
        if (it == out_.end()) {
            ++pool_.counts_.late;
            return;
        }
        const auto errand = it->errand;
        const bool again = it->again;
        const bool of_probe = answer.word == "well" || answer.word == "ill";
        if (errand->light() != of_probe) return spoilt("wrong_word");
        if (!of_probe) bore(it->id);
        out_.erase(it);
        ConnectionPool::carrier(*errand).reset();
        // It may be a second one to the earlier attempt: what runs under the id is given up, so that nothing else does.
        if (again) outbox_->send(stop(answer.id));
        gateway::Outcome outcome;
        outcome.ending = of_probe ? (answer.word == "well" ? Ending::honoured : Ending::errored) : ending_of(answer.word);
        outcome.note = note_of(answer.fields);
        outcome.company = pool_.sight_.says_company ? company_of(answer.fields) : 0;
        outcome.report = report_of(answer.fields, pool_.sight_.report_fields);
        outcome.status = 200;
        outcome.body = std::move(answer.body);
        rest();
        pool_.end(errand, std::move(outcome));
        if (alive_) pool_.connection_free();
    }

    void spoilt(const char* why) {
        if (!alive_) return;
        ++pool_.counts_.spoilt;
        if (pool_.counts_.tell_spoilt) pool_.counts_.tell_spoilt(pool_.address_.text(), why, out_.size());
        close();
    }

    void rest() {
        if (!out_.empty() || !alive_) return;
        if (retired_) return close();
        idle_.set(world_.now() + pool_.rules_.idle_for);
        if (outbox_) pool_.budget_.idles(*this);
    }

    // Once, when its descriptor is free.
    void uncount() {
        if (!std::exchange(counted_, false)) return;
        --pool_.budget_.open_;
        pool_.budget_.serve_soon();
    }

    ConnectionPool& pool_;
    net::World& world_;
    bool alive_ = true, retired_{}, counted_ = true, putting_{}, put_on_due_{};
    bool full_{};             // the last attempt found no room for a byte
    std::size_t whole_at_{};  // of the last attempt that was put on
    std::deque<std::string> borne_;  // requests of which an attempt has ended here, the newest last
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::Outbox> outbox_;  // once connected
    std::vector<Placed> out_;
    net::Time heard_{};
    net::Limit idle_, half_, half_sent_;
};

// ---------------------------------------------------------------- the pool

bool ConnectionBudget::evict() {
    if (idle_.empty()) return false;
    idle_.front()->close();
    return true;
}

void ConnectionBudget::idles(Connection& connection) {
    busy(connection);
    idle_.push_back(&connection);
    serve_soon();
}

void ConnectionBudget::busy(Connection& connection) {
    std::erase(idle_, &connection);
}

void ConnectionBudget::wait(ConnectionPool& pool) {
    if (std::find(waiting_.begin(), waiting_.end(), &pool) == waiting_.end()) waiting_.push_back(&pool);
}

// At the next turn, since whoever frees a connection may be in the middle of its own work.
void ConnectionBudget::serve_soon() {
    if (waiting_.empty() || serving_.second) return;
    serving_ = world_.at(world_.now(), [this] {
        serving_ = {};
        for (std::size_t turns = waiting_.size(); turns > 0 && !waiting_.empty(); --turns) {
            ConnectionPool* const next = waiting_.front();
            waiting_.pop_front();
            next->connection_free();
        }
    });
}

// ---------------------------------------------------------------- the connections to one invoker

ConnectionPool::ConnectionPool(net::World& world, const PoolRules& rules, const Sight& sight, net::Address address, gateway::ConnectionCounts& counts,
             ConnectionBudget& budget)
    : gateway::ConnectionPool(world), rules_(rules), sight_(sight), address_(std::move(address)), counts_(counts), budget_(budget) {}

ConnectionPool::~ConnectionPool() {
    budget_.left(*this);
}

bool ConnectionPool::carry(const std::shared_ptr<Errand>& errand) {
    if (dispatch(errand)) return true;
    if (queue_.size() >= rules_.queued) return false;
    queue_.push_back(errand);
    budget_.wait(*this);
    return true;
}

std::string ConnectionPool::id_of(const Errand& errand) {
    return errand.light() ? "p" + std::to_string(++tags_) : errand.ward->name;
}

// Whether a repeat of what has run, or may have, would take effect again.
static bool may_run_once(const Errand& errand) {
    return errand.ward->use_case->repeat != Repeat::replayable;
}

// The connection that bears least, or a new one while there may be more. A probe asks the one that has been silent
// longest while something is out on it: it is the one in doubt.
std::shared_ptr<Connection> ConnectionPool::choose(const Errand& errand) {
    std::shared_ptr<Connection> best;
    std::shared_ptr<Connection> borne;  // that bore the request before, which may run but once
    std::size_t takers = 0;  // what only waits for its last answers, at an earlier address, stands in nobody's way
    for (const auto& connection : connections_) {
        if (!connection->takes()) continue;
        if (connection->has_ended()) {
            connection->close();
            continue;
        }
        ++takers;
        if (errand.light()) {
            if (!best || (connection->load() > 0 && (best->load() == 0 || connection->heard() < best->heard()))) best = connection;
            continue;
        }
        if (connection->load() >= rules_.hops_a_connection || connection->bears(errand.ward->name)) continue;
        if (may_run_once(errand) && connection->has_borne(errand.ward->name)) {
            borne = connection;
            continue;
        }
        if (!best || connection->load() < best->load()) best = connection;
    }
    // A second answer to the earlier attempt could not be told from one to this: it leaves on another connection, for
    // which that one makes way if there may be no more.
    if (borne && !best && takers >= rules_.most) {
        borne->retire();
        --takers;
    }
    const bool room = budget_.open() < rules_.most_all;
    const bool new_one = !best || (!errand.light() && best->load() > 0);
    if (new_one && takers < rules_.most && (room || (takers == 0 && budget_.evict()))) {
        best = connections_.emplace_back(std::make_shared<Connection>(*this));
        best->start();
    }
    return best;
}

bool ConnectionPool::dispatch(const std::shared_ptr<Errand>& errand) {
    const auto connection = choose(*errand);
    if (!connection) return false;
    connection->take(errand, id_of(*errand));
    return true;
}

void ConnectionPool::connection_free() {
    while (!queue_.empty()) {
        const auto errand = queue_.front();
        if (errand->state() != Errand::State::ended && !dispatch(errand)) {
            budget_.wait(*this);
            return;
        }
        queue_.pop_front();
    }
}

void ConnectionPool::connection_gone(const std::shared_ptr<Connection>& connection) {
    std::erase(connections_, connection);
    connection_free();
}

Reached ConnectionPool::take_off(Errand& errand, Cause cause) {
    if (const auto connection = std::static_pointer_cast<Connection>(carrier(errand))) return connection->take_off(errand, cause);
    std::erase(queue_, errand.shared_from_this());
    return Reached::not_written;
}

void ConnectionPool::withdraw() {
    std::vector<std::shared_ptr<Errand>> unsent;
    for (const auto& errand : queue_)
        if (!errand->light()) unsent.push_back(errand);
    for (const auto& connection : connections_) connection->unsent(unsent);
    for (const auto& errand : unsent) stop(*errand, Cause::withdrawn);
}

void ConnectionPool::move_to(net::Address address) {
    if (address == address_) return;
    address_ = std::move(address);
    // Another may be at the old address by now, also where a connection to it is still coming up.
    std::vector<std::shared_ptr<Errand>> unsent;
    for (const auto& connection : connections_) connection->give_back(unsent);
    close();
    for (const auto& errand : unsent)
        if (!carry(errand)) end_soon(errand, Ending::never_sent);
}

void ConnectionPool::close() {
    for (const auto& connection : std::vector(connections_)) connection->retire();
}

std::size_t ConnectionPool::out() const {
    std::size_t n = 0;
    for (const auto& connection : connections_) n += connection->hops();
    return n;
}

}  // namespace plumkeel::runline
