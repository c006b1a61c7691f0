#include "web/connection_pool.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "gateway/gateway.hpp"
#include "http/http.hpp"
#include "net/lazy_timer.hpp"
#include "orca/orca.hpp"
#include "web/protocol.hpp"

namespace plumkeel::web {

using namespace std::chrono_literals;
namespace bh = http::bh;
namespace field = protocol::field;
using delivery::outcome_of;
using delivery::Progress;
using delivery::StopCause;

constexpr std::size_t light_connections = 2;  // past the cap, for probes and orders

class InvokerConnection : public std::enable_shared_from_this<InvokerConnection> {
public:
    explicit InvokerConnection(ConnectionPool& pool)
        : pool_(pool), loop_(pool.loop_), idle_(pool.loop_, [this] {
              if (!errand_) close();
          }) {}

    void start(std::shared_ptr<UpstreamCall> call) {
        take(std::move(call));
        loop_.spawn(live(shared_from_this(), pool_.address_));
    }

    // Puts the errand's bytes on an idle line. False: it turned out closed, and nothing of it was written.
    bool carry(const std::shared_ptr<UpstreamCall>& call) {
        idle_.clear();
        if (!alive_ || stream_->peer_closed()) {
            close();
            return false;
        }
        take(call);
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
        if (write_queue_) write_queue_->abandon();
    }

    Progress reached() const {
        if (!stream_) return Progress::not_connected;
        return write_queue_->sent_bytes() > sent_before_ ? Progress::may_have_run : Progress::not_written;
    }

    std::shared_ptr<UpstreamCall> let_go() {
        if (errand_) ConnectionPool::connection_of(*errand_).reset();
        return std::exchange(errand_, nullptr);
    }

    // The hop whose connection is still being made, if there is one.
    std::shared_ptr<UpstreamCall> unsent() const {
        return errand_ && !errand_->has_priority() && reached() != Progress::may_have_run ? errand_ : nullptr;
    }

    bool bears_hop() const { return errand_ && !errand_->has_priority(); }

    void rest() { idle_.set(loop_.now() + pool_.config_.idle_timeout); }

private:
    void take(std::shared_ptr<UpstreamCall> call) {
        errand_ = std::move(call);
        ConnectionPool::connection_of(*errand_) = shared_from_this();
        ConnectionPool::mark_sent(*errand_);
    }

    bool put() {
        sent_before_ = write_queue_->sent_bytes();
        write_queue_->send(pool_.head_of(*errand_), errand_->request ? errand_->request->body : nullptr);
        return !write_queue_->error() || write_queue_->sent_bytes() > sent_before_;
    }

    net::Task<> live(std::shared_ptr<InvokerConnection> self, net::Address address) {
        auto connected = co_await loop_.connect(address, pool_.config_.connect_timeout);
        if (connected.error) {
            const StopCause why = ConnectionPool::cause_of(connected.error);
            if (why == StopCause::no_connection) ++pool_.counts_.unreachable;
            alive_ = false;
            if (const auto call = let_go()) pool_.finish(call, outcome_of(Progress::not_connected, why));
            pool_.connection_closed(self);
            co_return;
        }
        ++pool_.counts_.opened;
        stream_ = std::move(connected.stream);
        write_queue_ = std::make_shared<net::WriteQueue>(loop_, stream_);
        http::ReadBuffer read_buffer(stream_, 256 * 1024);
        if (!alive_) {
            stream_->close();  // what it was opened for was called off
        } else if (errand_ && put()) {
            while (alive_) {
                const bool on = co_await answer(read_buffer);
                if (!on || !alive_) break;
                if (!errand_) pool_.on_connection_free(self);
            }
        }
        const bool was_idle = alive_ && !errand_;
        close();
        if (was_idle) ++pool_.counts_.closed_idle;
        if (const auto call = let_go()) pool_.finish(call, outcome_of(reached(), StopCause::connection_lost));
        pool_.connection_closed(self);
    }

    // Reads one answer and ends its errand. False: the line can't be used further.
    net::Task<bool> answer(http::ReadBuffer& read_buffer) {
        bh::response_parser<bh::string_body> parser;
        parser.header_limit(64 * 1024);
        parser.body_limit(boost::none);
        parser.eager(true);
        bool streaming = false;
        do {
            net::Error error;
            if (read_buffer.size() == 0 || parser.got_some()) error = co_await read_buffer.read_more();
            if (error == net::asio::error::eof) {
                if (!parser.got_some() || !errand_) co_return false;
                error = {};
                parser.put_eof(error);
                if (error || !parser.is_done()) co_return false;
                break;
            }
            if (error || !alive_) co_return false;
            if (!errand_) co_return false;  // bytes that answer nothing
            if (read_buffer.feed(parser)) co_return false;
            if (parser.is_header_done() && parser.get().result_int() / 100 == 1) co_return false;
            if (!streaming && is_large(parser)) {
                std::string passed;
                protocol::read_own(parser.get(), &passed);
                if (!errand_->on_stream_begin(parser.get().result_int(), passed)) {
                    const auto call = let_go();
                    pool_.finish(call, AttemptOutcome::cancelled);
                    co_return false;
                }
                streaming = true;
                ConnectionPool::set_state(*errand_, UpstreamCall::State::streaming);
                pool_.clear_deadline(*errand_);
            }
            if (streaming && !parser.get().body().empty()) {
                errand_->on_chunk(std::exchange(parser.get().body(), {}));
                const auto call = errand_;
                const bool on = co_await call->wait_writable();
                if (!on || !alive_) co_return false;
            }
        } while (!parser.is_done());
        if (!errand_) co_return false;
        const bool reusable = parser.keep_alive() && write_queue_->pending_bytes() == 0;
        finish(parser);
        co_return reusable;
    }

    template <class Parser>
    bool is_large(Parser& parser) const {
        if (!parser.is_header_done() || parser.is_done() || errand_->has_priority()) return false;
        const auto& message = parser.get();
        if (protocol::ending_of(message.result_int(), http::field(message, protocol::field::never_ran)) !=
            AttemptOutcome::succeeded)
            return false;
        const auto length = parser.content_length();
        return message.body().size() > pool_.config_.max_buffered_response ||
               (length && *length > pool_.config_.max_buffered_response);
    }

    template <class Parser>
    void finish(Parser& parser) {
        CallResult outcome;
        const auto own = protocol::read_own(parser.get(), &outcome.forwarded_headers);
        outcome.status = parser.get().result_int();
        outcome.outcome = protocol::ending_of(outcome.status, own.never_ran);
        outcome.load_event = protocol::note_of(own.note);
        outcome.concurrent_requests = std::clamp(http::parse_number<int>(own.concurrent_requests).value_or(0), 0, 1000);
        outcome.copies = std::clamp(http::parse_number<int>(own.copies).value_or(0), 0, 1000);
        outcome.report = orca::parse(own.report);
        outcome.body = std::move(parser.get().body());
        pool_.finish(let_go(), std::move(outcome));
    }

    ConnectionPool& pool_;
    net::EventLoop& loop_;
    bool alive_ = true;
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::WriteQueue> write_queue_;
    std::shared_ptr<UpstreamCall> errand_;
    std::size_t sent_before_{};
    net::LazyTimer idle_;  // how long it may lie unused
};

ConnectionPool::ConnectionPool(net::EventLoop& loop, const PoolConfig& rules, net::Address address,
                               gateway::ConnectionCounts& counts, std::string teller)
    : gateway::ConnectionPool(loop),
      config_(rules),
      address_(std::move(address)),
      counts_(counts),
      controller_name_(std::move(teller)) {}

ConnectionPool::~ConnectionPool() = default;

bool ConnectionPool::enqueue(const std::shared_ptr<UpstreamCall>& call) {
    if (dispatch(call)) return true;
    if (queue_.size() >= config_.max_queued) return false;
    queue_.push_back(call);
    return true;
}

// A hop's head differs from hop to hop in its first lines alone; the rest is written once for each job.
std::string ConnectionPool::head_of(UpstreamCall& call) const {
    switch (call.kind) {
        case UpstreamCall::Kind::health_check:
            return fmt::format("GET /v1/load HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n\r\n", call.invoker, field::controller,
                               controller_name_);
        case UpstreamCall::Kind::load_copies:
        case UpstreamCall::Kind::unload_copies: {
            const std::string copies = call.copies > 0 ? fmt::format("{}: {}\r\n", field::copies, call.copies) : "";
            return fmt::format("{} /v1/copies/{} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}Content-Length: 0\r\n\r\n",
                               call.copies > 0 ? "PUT" : "DELETE", http::percent_encode(call.function), call.invoker,
                               field::controller, controller_name_, copies);
        }
        case UpstreamCall::Kind::attempt:
            break;
    }
    gateway::ActiveRequest& request = *call.request;
    if (request.encoded_suffix.empty()) {
        http::HeadWriter tail("");
        tail.add(field::controller, controller_name_).add(field::request, static_cast<std::int64_t>(request.id));
        tail.add(field::request_class, static_cast<const NamedRequestClass*>(request.request_class)->name);
        if (!request.idempotency_key.empty()) tail.add(field::mark, request.idempotency_key);
        tail.add(field::lanes, static_cast<std::int64_t>(request.concurrency));
        if (request.memory) tail.add(field::memory, static_cast<std::int64_t>(*request.memory));
        tail.add_raw_lines(request.forwarded_headers)
            .add("Content-Length", static_cast<std::int64_t>(request.body->size()));
        request.encoded_suffix = tail.finish().substr(2);
    }
    return fmt::format("POST /v1/run/{} HTTP/1.1\r\nHost: {}\r\n{}: {}\r\n{}: {}\r\n{}",
                       http::percent_encode(request.function->name), call.invoker, field::attempt, call.attempt->number,
                       field::limit, call.attempt->timeout / 1ms, request.encoded_suffix);
}

// Puts the errand on an idle line or a new one; false where it has to wait for one.
bool ConnectionPool::dispatch(const std::shared_ptr<UpstreamCall>& call) {
    while (!idle_.empty() && !call->fresh_connection) {
        const auto connection = idle_.back();
        idle_.pop_back();
        if (connection->carry(call)) return true;
    }
    if (connections_.size() >= config_.max_connections + (call->has_priority() ? light_connections : 0)) {
        if (call->fresh_connection && !idle_.empty()) {  // an idle line makes way for a new one
            idle_.front()->close();
            idle_.erase(idle_.begin());
        }
        return false;
    }
    connections_.push_back(std::make_shared<InvokerConnection>(*this));
    connections_.back()->start(call);
    return true;
}

void ConnectionPool::on_connection_free(const std::shared_ptr<InvokerConnection>& connection) {
    idle_.push_back(connection);
    connection->rest();
    while (!queue_.empty()) {
        const auto call = queue_.front();
        if (call->state() == UpstreamCall::State::ended) {
            queue_.pop_front();
            continue;
        }
        if (!dispatch(call)) break;
        queue_.pop_front();
    }
}

void ConnectionPool::connection_closed(const std::shared_ptr<InvokerConnection>& connection) {
    std::erase(connections_, connection);
    std::erase(idle_, connection);
    while (!queue_.empty()) {
        const auto call = queue_.front();
        if (call->state() != UpstreamCall::State::ended && !dispatch(call)) break;
        queue_.pop_front();
    }
}

// What is on a line takes the line with it.
Progress ConnectionPool::remove(UpstreamCall& call, StopCause) {
    Progress reached = Progress::not_written;
    if (const auto connection = std::static_pointer_cast<InvokerConnection>(connection_of(call))) {
        reached = connection->reached();
        connection->let_go();
        connection->close();
    }
    std::erase(queue_, call.shared_from_this());
    return reached;
}

void ConnectionPool::cancel_unsent() {
    std::vector<std::shared_ptr<UpstreamCall>> unsent;
    for (const auto& call : queue_)
        if (!call->has_priority()) unsent.push_back(call);
    for (const auto& connection : connections_)
        if (const auto call = connection->unsent()) unsent.push_back(call);
    for (const auto& call : unsent) stop(*call, StopCause::cancelled_unsent);
}

void ConnectionPool::set_address(net::Address address) {
    if (address == address_) return;
    address_ = std::move(address);
    for (const auto& connection : std::exchange(idle_, {})) connection->close();
}

void ConnectionPool::close() {
    for (const auto& connection : std::exchange(idle_, {})) connection->close();
}

std::size_t ConnectionPool::in_flight_count() const {
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                  [](const auto& connection) { return connection->bears_hop(); }));
}

}  // namespace plumkeel::web
