/// A connection of a ConnectionPool to its invoker; private to this package.
#pragma once

#include <deque>
#include <limits>
#include <memory>
#include <string>
#include <vector>

#include "invoker_protocol/codec.hpp"
#include "invoker_protocol/connection_pool.hpp"
#include "net/lazy_timer.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::invoker_protocol {

/// Writes calls to an invoker and matches its responses to them. Its coroutines keep it alive; the pool lists it until
/// it has closed.
class InvokerConnection : public std::enable_shared_from_this<InvokerConnection> {
public:
    explicit InvokerConnection(ConnectionPool& pool);

    /// Connects to the pool's address.
    void start();
    /// Accepts a call and writes it once the connection is established and the socket accepts bytes.
    void send(const std::shared_ptr<UpstreamCall>& call, std::string id);
    /// Removes a call that was cancelled or timed out, and returns how much of it was written. A late response to it is
    /// ignored.
    delivery::Progress remove(UpstreamCall& call, delivery::StopCause cause);
    void close();
    /// Accepts no further calls; closes once no call is in flight.
    void drain();

    bool is_accepting() const { return is_open_ && !is_draining_; }
    /// Whether the connection is idle and the peer has closed it, so that bytes written now would be lost.
    bool is_closed_by_peer() const { return calls_.empty() && stream_ && stream_->peer_closed(); }
    std::size_t call_count() const { return calls_.size(); }
    std::size_t attempt_count() const;
    net::Time last_read() const { return last_read_at_; }
    bool carries(std::string_view id) const;
    /// Whether an attempt of the request with this id has ended on this connection: a late response to that attempt may
    /// still arrive.
    bool has_carried(std::string_view id) const;
    /// Moves the unwritten calls to `unsent`.
    void take_unsent(std::vector<std::shared_ptr<UpstreamCall>>& unsent);
    /// Appends the unwritten attempts to `unsent` without removing them.
    void collect_unsent(std::vector<std::shared_ptr<UpstreamCall>>& unsent) const;

private:
    static constexpr std::size_t unwritten = std::numeric_limits<std::size_t>::max();

    struct PendingCall {
        std::string id;
        std::shared_ptr<UpstreamCall> call;
        std::size_t end_offset = unwritten;  // value of sent_bytes() once the call is completely sent
        net::Time since{};                   // when the call was written, or accepted if it is unwritten
        bool is_repeat{};                    // whether an earlier attempt of the request ended on this connection

        bool is_unwritten() const { return end_offset == unwritten; }
    };

    // Reasons for closing the connection other than a ResponseError.
    enum class Failure {
        incomplete_response,  // a response did not become complete in time
        incomplete_attempt,   // an attempt was not written completely in time
        unexpected_result,    // an attempt got the result of a probe, or a probe that of an attempt
        probe_timeout,        // nothing was received before the timeout of a probe
    };
    static const char* name_of(Failure failure);

    net::Task<> run(std::shared_ptr<InvokerConnection> self, net::Address address);
    net::Task<> read_responses();
    void finish(const std::shared_ptr<InvokerConnection>& self, delivery::StopCause cause);
    delivery::Progress progress_of(const PendingCall& pending, std::size_t sent_bytes) const;

    void write_calls();
    void write_calls_now();
    void write_calls_after(net::Time delay);
    void write_calls_when_writable();
    void cancel_overdue();
    net::Task<> wait_and_write(std::shared_ptr<InvokerConnection> self);
    bool has_unwritten() const;
    void write(PendingCall& pending);
    bool write_attempt(PendingCall& pending, std::size_t start_offset);
    net::Time completion_deadline(const UpstreamCall& call) const;

    void on_response(ResponseMessage& response);
    gateway::CallResult to_result(ResponseMessage& response) const;
    void remember_ended_request(const std::string& id);
    void fail(const char* reason);
    void on_calls_changed();
    void release_budget();

    ConnectionPool& pool_;
    net::EventLoop& loop_;
    bool is_open_ = true, is_draining_{}, is_counted_in_budget_ = true;
    bool waiting_writable_{}, write_scheduled_{};
    bool attempt_blocked_{};                  // the socket accepted no byte of the last attempt
    std::size_t last_attempt_end_offset_{};   // end_offset of the attempt written last
    std::deque<std::string> ended_requests_;  // ids of requests with an ended attempt, newest last
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::WriteQueue> write_queue_;  // null until connected
    std::vector<PendingCall> calls_;                // oldest first
    net::Time last_read_at_{};
    net::LazyTimer idle_timer_, response_timer_, attempt_timer_;
};

}  // namespace plumkeel::invoker_protocol
