/// One connection of a ConnectionPool. Private to this package.
#pragma once

#include <deque>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "invoker_protocol/codec.hpp"
#include "invoker_protocol/connection_pool.hpp"
#include "net/lazy_timer.hpp"

namespace plumkeel::invoker_protocol {

/// Writes calls to an invoker and matches its responses to them. Its coroutines keep it alive; it belongs to the pool's
/// list until it has closed.
class InvokerConnection : public std::enable_shared_from_this<InvokerConnection> {
public:
    explicit InvokerConnection(ConnectionPool& pool);

    /// Connects to the pool's address.
    void start();
    /// Takes the call over; it is written once the connection is there, and the invoker's socket has room.
    void send(const std::shared_ptr<UpstreamCall>& call, std::string id);
    /// The call is cancelled or timed out. A late response to it is expected from then on. Returns how far it got.
    delivery::Progress remove(UpstreamCall& call, delivery::StopCause cause);
    void close();
    /// Accepts no further calls; closes once none is in flight.
    void drain();

    bool is_accepting() const { return alive_ && !draining_; }
    /// Whether it is idle and the peer's end has arrived, though it is not read yet: what is written now would be lost.
    bool is_closed_by_peer() const { return calls_.empty() && stream_ && stream_->peer_closed(); }
    std::size_t call_count() const { return calls_.size(); }
    std::size_t attempt_count() const;
    net::Time last_read() const { return last_read_; }
    bool carries(std::string_view id) const;
    /// Whether an attempt of the request was on this connection and has ended: a further response to that request may
    /// be one to that attempt.
    bool has_carried(std::string_view id) const;
    /// Removes calls that have not begun to be written, to be sent elsewhere.
    void take_unsent(std::vector<std::shared_ptr<UpstreamCall>>& unsent);
    /// Appends attempts that have not begun to be written.
    void collect_unsent(std::vector<std::shared_ptr<UpstreamCall>>& unsent) const;

private:
    static constexpr std::size_t unwritten = std::numeric_limits<std::size_t>::max();

    struct PendingCall {
        std::string id;
        std::shared_ptr<UpstreamCall> call;
        std::size_t end_offset = unwritten;  // bytes sent on the connection once all of the call is
        net::Time since{};                   // when it was written; before that, when it was taken over
        bool is_repeat{};                    // an earlier attempt of the request was on this connection

        bool is_unwritten() const { return end_offset == unwritten; }
    };

    // Why the connection can't be used further, apart from ResponseError.
    enum class Failure {
        incomplete_response,  // it began and did not become complete in time
        incomplete_attempt,   // a part was written and the rest did not follow in time
        unexpected_result,    // the result of a probe for an attempt, or the other way round
        probe_timeout,        // nothing received during all of a probe's time
    };
    static const char* name_of(Failure failure);

    net::Task<> run(std::shared_ptr<InvokerConnection> self, net::Address address);
    net::Task<> read_responses();
    void finish(const std::shared_ptr<InvokerConnection>& self, delivery::StopCause cause);
    delivery::Progress progress_of(const PendingCall& pending, std::size_t sent_bytes) const;

    void write_calls();
    void write_calls_now();
    void write_calls_after(net::Time pause);
    void write_calls_when_writable();
    net::Task<> wait_and_write(std::shared_ptr<InvokerConnection> self);
    bool has_unwritten() const;
    bool client_has_unread_input(const UpstreamCall& call) const;
    void write(PendingCall& pending);
    bool write_attempt(PendingCall& pending, std::size_t begin_offset);

    void on_response(ResponseMessage& response);
    gateway::CallResult to_result(ResponseMessage& response) const;
    void remember_ended(const std::string& id);
    void fail(const char* reason);
    void on_calls_changed();
    void release_budget();

    ConnectionPool& pool_;
    net::EventLoop& loop_;
    bool alive_ = true, draining_{}, is_counted_ = true;
    bool waiting_writable_{}, write_scheduled_{};
    bool socket_full_{};                      // the last attempt found no room for a byte
    std::size_t last_attempt_end_offset_{};   // of the attempt written last
    std::deque<std::string> ended_requests_;  // of which an attempt has ended here, the newest last
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::WriteQueue> write_queue_;  // once connected
    std::vector<PendingCall> calls_;                // oldest first
    net::Time last_read_{};
    net::LazyTimer idle_timer_, response_timer_, attempt_timer_;
};

}  // namespace plumkeel::invoker_protocol
