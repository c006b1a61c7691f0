/// A client's HTTP connection: reads requests one after another, submits them to the gateway and writes the responses.
#pragma once

#include "admission/memory_reservation.hpp"
#include "gateway/gateway.hpp"
#include "http/http.hpp"
#include "net/lazy_timer.hpp"
#include "net/write_queue.hpp"
#include "web/request_fields.hpp"

namespace plumkeel::web {

using gateway::ActiveRequest;

class Server;

class Connection : public gateway::ResponseSink, public std::enable_shared_from_this<Connection> {
public:
    Connection(Server& server, std::uint64_t id, std::shared_ptr<net::Stream> stream);
    void start();

    void send_response(const ActiveRequest& request, unsigned status, std::string_view forwarded,
                       std::string body) override;
    void send_rejection(const ActiveRequest& request) override;
    void begin_stream(const ActiveRequest& request, unsigned status, std::string_view forwarded) override;
    void write_chunk(const ActiveRequest& request, std::string bytes) override;
    void end_stream(const ActiveRequest& request, bool is_complete) override;
    bool has_unread_input() override { return !closing_ && stream_->has_unread(); }
    net::Task<bool> wait_writable() override;

    /// Closes the connection, unless a request on it is open or arriving. Called when the controller shuts down.
    void close_if_idle();
    std::uint64_t id() const { return id_; }
    bool is_busy() const {
        return request_ != nullptr || (write_queue_->pending_bytes() > 0 && !write_queue_->error());
    }

private:
    // Reading requests.
    net::Task<> run(std::shared_ptr<Connection> self);
    net::Task<bool> serve_request();
    net::Task<RejectionReason> read_request(RequestParser& parser, const std::vector<std::string>& path,
                                            bool& disconnected, gateway::IncomingRequest& request);
    net::Task<RejectionReason> read_head(RequestParser& parser, bool& disconnected);
    net::Task<RejectionReason> read_body(RequestParser& parser, bool& disconnected, MemoryReservation& reservation);
    net::Task<bool> wait_for_response();

    // Writing responses.
    void write_response(unsigned status, const ActiveRequest& request, std::string_view forwarded, std::string body);
    bool write_page(std::string_view name);
    void write_page_response(unsigned status, std::string_view content_type, std::string body);
    void reject(RejectionReason reason);
    void finish_request(bool closes_connection);
    bool should_close() const { return !keep_alive_ || gateway_.admission().closing(); }

    // Timeouts and closing.
    void set_read_timeout(Time timeout, RejectionReason reason);
    void clear_read_timeout() { read_timer_.clear(); }
    void on_read_timeout();
    void start_unread_timer();
    void on_unread_timeout();
    void close_gracefully();
    net::EventLoop& loop() const;

    Server& server_;
    gateway::Gateway& gateway_;
    const std::uint64_t id_;
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::WriteQueue> write_queue_;
    http::ReadBuffer read_buffer_;
    ActiveRequest* request_{};  // the submitted request whose response is not complete, or null
    net::Notification request_finished_;
    net::LazyTimer read_timer_, unread_timer_, disconnect_check_timer_;
    RejectionReason timeout_reason_{};  // reported when the read timer expires; none: close without a response
    std::size_t sent_bytes_at_timer_start_{};
    bool keep_alive_{}, chunked_{};  // properties of the current request
    bool closing_{};
};

}  // namespace plumkeel::web
