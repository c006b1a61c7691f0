/// A web server's FastCGI connection: parses multiplexed requests, submits them to the gateway and writes the responses
/// in the order in which they become ready.
#pragma once

#include <map>

#include "fastcgi/glitch_limiter.hpp"
#include "fastcgi/request_parser.hpp"
#include "fastcgi/write_stall_detector.hpp"
#include "gateway/gateway.hpp"
#include "net/lazy_timer.hpp"
#include "net/notification.hpp"
#include "net/write_queue.hpp"

namespace plumkeel::fastcgi {

class Server;

class Connection : public gateway::ResponseSink,
                   private ParserHandler,
                   public std::enable_shared_from_this<Connection> {
public:
    /// `accept_delay`: the longest time that the connection may have waited in the listen backlog.
    Connection(Server& server, std::uint64_t id, std::shared_ptr<net::Stream> stream, net::Time accept_delay);
    void start();

    void send_response(const gateway::ActiveRequest& request, unsigned status, std::string_view forwarded_headers,
                       std::string body) override;
    void send_rejection(const gateway::ActiveRequest& request) override;
    void begin_stream(const gateway::ActiveRequest& request, unsigned status,
                      std::string_view forwarded_headers) override;
    void write_chunk(const gateway::ActiveRequest& request, std::string bytes) override;
    void end_stream(const gateway::ActiveRequest& request, bool complete) override;
    net::Task<bool> wait_writable() override;

    std::uint64_t id() const { return id_; }
    bool is_busy() const {
        return !open_requests_.empty() || parser_.in_request() || write_queue_->pending_bytes() > 0;
    }
    bool is_idle() const { return !is_busy() && !closing_; }
    /// Age of the oldest incomplete request if the connection has no open request and nothing to write; otherwise 0.
    net::Time incomplete_duration() const;
    /// Whether a complete request has arrived on this connection.
    bool has_received_request() const { return received_request_; }
    net::Time last_activity() const { return last_activity_; }
    bool has_unread_input() override {
        return !closing_ && !is_held_ && (has_unparsed_input_ || stream_->has_unread());
    }
    /// Whether the connection has exceeded the limit on glitches, and is only kept open for a while before it closes.
    bool is_held() const { return is_held_ && !closing_; }
    /// Closes the connection once all pending bytes have been written.
    void close_gracefully();
    /// Closes the socket at once: for an idle connection whose descriptor is needed.
    void close_now();

private:
    static constexpr net::Time timeout_check_interval = std::chrono::milliseconds(250);

    struct OpenRequest {
        gateway::ActiveRequest* request{};  // null if the request is not with the gateway
        bool keep_connection{};
    };

    void on_request_begun(std::uint16_t request_id) override;
    void on_request(RequestMessage message) override;
    void on_request_error(std::uint16_t request_id, RequestError error, bool keep_connection) override;
    void on_abort(std::uint16_t request_id) override;
    void on_ignored_record() override { record_glitch(); }
    void on_get_values(std::string_view names) override;
    void on_unknown_type(std::uint8_t type) override;
    bool is_pending(std::uint16_t request_id) const override { return open_requests_.count(request_id) > 0; }

    // Reading of input:
    net::Task<> run(std::shared_ptr<Connection> self);
    bool enforce_rejection_limit();
    void note_unread_time(Time lag);
    Time unread_time();
    net::Task<> parse_in_passes(std::string_view input);
    void parse(std::string_view& input);
    void record_glitch();
    net::Task<> hold_and_close();
    bool update_reservation();
    void reject_incomplete_requests();

    // Handling of parsed requests:
    RejectionReason admit(const RequestMessage& message, const gateway::IncomingRequest& request);
    void submit(RequestMessage message, gateway::IncomingRequest request);
    void cancel(std::uint16_t request_id);

    // Writing of responses:
    void reject(std::uint16_t request_id, RejectionReason reason, bool keep_connection);
    void reject_invalid(std::uint16_t request_id, RejectionReason reason, bool keep_connection);
    void write_response(std::uint16_t request_id, std::string records);
    void write_control(std::string record);
    void request_finished(std::uint16_t request_id);

    // Timeouts and closing of the connection:
    void check_timeouts();
    bool check_unread_responses(Time now);
    void reset_connection();
    void reject_slow_requests(Time now);
    void close_when_drained();
    void on_closing();
    net::Task<> drain_and_close(std::shared_ptr<Connection> self);
    net::EventLoop& loop() const;

    Server& server_;
    gateway::Gateway& gateway_;
    const std::uint64_t id_;
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::WriteQueue> write_queue_;
    RequestParser parser_;
    std::map<std::uint16_t, OpenRequest> open_requests_;      // complete requests without a response yet
    std::map<std::uint16_t, net::Time> incomplete_requests_;  // start time of each incomplete request
    net::LazyTimer timeout_timer_;
    net::Notification closed_notification_;
    WriteStallDetector write_stall_detector_;
    GlitchLimiter glitches_;
    net::Time read_at_{}, last_activity_{};
    net::Time last_record_completed_at_{};     // when the last complete record arrived
    std::optional<net::Time> unread_since_;    // earliest time at which the input read now may have arrived
    std::size_t reserved_bytes_{};             // memory reserved with admission for incomplete requests
    std::size_t unread_rejection_bytes_{};     // rejections and control records that the client may not have read
    std::size_t discarded_bytes_at_submit_{};  // parser_.discarded_bytes() when the last request was submitted
    bool has_unparsed_input_{};                // input was read and waits for a later iteration of the event loop
    bool is_held_{};                           // see is_held()
    bool received_request_{};
    bool client_asked_to_close_{};  // a request lacked FCGI_KEEP_CONN
    bool malformed_{};              // the input is not valid FastCGI; it is no longer parsed
    bool draining_{};               // accepts no requests; closes once no request is open
    bool closing_{}, closed_{};
};

}  // namespace plumkeel::fastcgi
