/// An HTTP connection to an invoker, owned by a ConnectionPool. Private to this package.
#pragma once

#include <memory>

#include "http/http.hpp"
#include "net/lazy_timer.hpp"
#include "net/write_queue.hpp"
#include "web/connection_pool.hpp"

namespace plumkeel::web {

/// Sends one call at a time to an invoker and reads the responses. Its coroutine run() keeps the object alive; the pool
/// lists the connection until it has closed.
class InvokerConnection : public std::enable_shared_from_this<InvokerConnection> {
public:
    explicit InvokerConnection(ConnectionPool& pool);

    /// Connects to the pool's address and then sends `call`.
    void start(std::shared_ptr<UpstreamCall> call);
    /// Sends a call on an idle connection. Returns false if the connection is closed and no byte of the call was sent.
    bool try_send(const std::shared_ptr<UpstreamCall>& call);
    void close();
    /// How much of the current call was sent.
    delivery::Progress progress() const;
    /// Detaches the current call from the connection and returns it, or null if there is none.
    std::shared_ptr<UpstreamCall> release_call();
    /// The current call if it is an attempt of which no byte was sent yet, otherwise null.
    std::shared_ptr<UpstreamCall> unsent_attempt() const;
    /// Whether bytes of the current call are still to be sent.
    bool has_unsent_bytes() const { return write_queue_ && write_queue_->pending_bytes() > 0; }
    bool has_attempt() const { return call_ && !call_->has_priority(); }
    void start_idle_timer();

private:
    using Parser = http::beast_http::response_parser<http::beast_http::string_body>;
    enum class ReadStatus { failed, incomplete, ended_by_peer };

    void attach_call(std::shared_ptr<UpstreamCall> call);
    bool write_call();
    void close_if_overdue();
    net::Task<> run(std::shared_ptr<InvokerConnection> self, net::Address address);
    void on_connect_failed(const std::shared_ptr<InvokerConnection>& self, const net::Error& error);
    net::Task<bool> read_response(http::ReadBuffer& read_buffer);
    net::Task<ReadStatus> read_some(http::ReadBuffer& read_buffer, Parser& parser);
    bool completes_at_eof(Parser& parser);
    bool needs_streaming(Parser& parser) const;
    bool begin_stream(Parser& parser);
    net::Task<bool> forward_chunk(Parser& parser);
    void finish_call(Parser& parser);

    ConnectionPool& pool_;
    net::EventLoop& loop_;
    bool is_open_ = true;
    std::shared_ptr<net::Stream> stream_;           // null until connected
    std::shared_ptr<net::WriteQueue> write_queue_;  // null until connected
    std::shared_ptr<UpstreamCall> call_;
    std::size_t sent_bytes_before_call_{};  // bytes sent on this connection before the current call
    net::LazyTimer idle_timer_;
    net::LazyTimer send_timer_;  // set while the current call is not completely sent
};

}  // namespace plumkeel::web
