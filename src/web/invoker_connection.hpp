/// One connection of a ConnectionPool. Private to this package.
#pragma once

#include <memory>

#include "http/http.hpp"
#include "net/lazy_timer.hpp"
#include "net/write_queue.hpp"
#include "web/connection_pool.hpp"

namespace plumkeel::web {

/// Sends one call at a time to an invoker and reads its response. Its coroutine keeps it alive; it belongs to the
/// pool's list until it has closed.
class InvokerConnection : public std::enable_shared_from_this<InvokerConnection> {
public:
    explicit InvokerConnection(ConnectionPool& pool);

    /// Connects to the pool's address, for this call.
    void start(std::shared_ptr<UpstreamCall> call);
    /// Sends a call on an idle connection. False: it turned out to be closed, and nothing of the call was written.
    bool try_send(const std::shared_ptr<UpstreamCall>& call);
    void close();
    /// How far the present call got.
    delivery::Progress progress() const;
    /// Takes the present call off the connection; null where there is none.
    std::shared_ptr<UpstreamCall> release_call();
    /// The attempt of which nothing has been written yet, or null.
    std::shared_ptr<UpstreamCall> unsent_attempt() const;
    bool has_attempt() const { return call_ && !call_->has_priority(); }
    void start_idle_timer();

private:
    using Parser = http::beast_http::response_parser<http::beast_http::string_body>;
    enum class ReadStatus { failed, incomplete, ended_by_peer };

    void take(std::shared_ptr<UpstreamCall> call);
    bool write_call();
    net::Task<> run(std::shared_ptr<InvokerConnection> self, net::Address address);
    void on_connect_failed(const std::shared_ptr<InvokerConnection>& self, const net::Error& error);
    net::Task<bool> read_response(http::ReadBuffer& read_buffer);
    net::Task<ReadStatus> read_some(http::ReadBuffer& read_buffer, Parser& parser);
    bool end_at_eof(Parser& parser);
    bool is_large(Parser& parser) const;
    bool begin_stream(Parser& parser);
    net::Task<bool> forward_chunk(Parser& parser);
    void finish_call(Parser& parser);

    ConnectionPool& pool_;
    net::EventLoop& loop_;
    bool alive_ = true;
    std::shared_ptr<net::Stream> stream_;           // once connected
    std::shared_ptr<net::WriteQueue> write_queue_;  // once connected
    std::shared_ptr<UpstreamCall> call_;
    std::size_t sent_bytes_before_{};  // of the present call
    net::LazyTimer idle_timer_;
};

}  // namespace plumkeel::web
