// One connection of a web server that speaks FastCGI: reads messages, many at once, hands their jobs to the
// gateway and sends the answers in whatever order they come.
#pragma once

#include <map>

#include "fastcgi/records.hpp"
#include "gateway/gateway.hpp"
#include "net/lazy_timer.hpp"
#include "net/notification.hpp"

namespace plumkeel::fastcgi {

class Server;

class Connection : public gateway::ResponseSink,
                   private ParserHandler,
                   public std::enable_shared_from_this<Connection> {
public:
    // `waited`: how long the connection may have stood unaccepted.
    Connection(Server& front, std::uint64_t number, std::shared_ptr<net::Stream> stream, net::Time waited);
    void start();

    void send_response(const gateway::ActiveRequest& request, unsigned status, std::string_view passed,
                       std::string body) override;
    void send_rejection(const gateway::ActiveRequest& request) override;
    void begin_stream(const gateway::ActiveRequest& request, unsigned status, std::string_view passed) override;
    void write_chunk(const gateway::ActiveRequest& request, std::string bytes) override;
    void end_stream(const gateway::ActiveRequest& request, bool whole) override;
    net::Task<bool> wait_writable() override;

    std::uint64_t number() const { return number_; }
    bool busy() const { return !open_.empty() || parser_.in_request() || write_queue_->pending_bytes() > 0; }
    bool idle() const { return !busy() && !leaving_; }
    // For how long nothing but messages that do not come whole has been on it; 0 where there is more.
    net::Time unfinished_for() const;
    bool spoke() const { return spoke_; }  // a whole message has come
    net::Time last() const { return last_; }
    bool has_unread_input() override { return !leaving_ && stream_->has_unread(); }
    // Goes now, once what is pending has left.
    void leave();
    // The same without waiting for the client: it idles, and its descriptor is needed.
    void leave_at_once();

private:
    struct Open {
        gateway::ActiveRequest* request{};
        bool keep{};
    };

    void on_request_begun(std::uint16_t number) override;
    void on_request(RequestMessage message) override;
    void on_request_error(std::uint16_t number, RequestError why, bool keep) override;
    void on_abort(std::uint16_t number) override;
    void on_get_values(std::string_view names) override;
    void on_unknown_type(std::uint8_t type) override;
    bool is_pending(std::uint16_t number) const override { return open_.count(number) > 0; }

    net::Task<> live(std::shared_ptr<Connection> self);
    void note_backlog(Time late);
    Time waited_unread();
    void take_in(std::string_view bytes);
    bool count_coming();
    void turn_back_unfinished();
    void finish();
    void told_leaving();
    RejectionReason understand(const RequestMessage& message, gateway::IncomingRequest& wanted) const;
    void object(std::uint16_t number, RejectionReason objection, bool keep);
    void answer(std::uint16_t number, std::string head, std::string_view body, std::uint8_t protocol_status = complete);
    void refuse(std::string text);
    void closed(std::uint16_t number);
    void drop(std::uint16_t number);
    void watch();
    net::EventLoop& loop() const;

    Server& server_;
    gateway::Gateway& gateway_;
    const std::uint64_t number_;
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::WriteQueue> write_queue_;
    RequestParser parser_;
    std::map<std::uint16_t, Open> open_;        // whole and not answered
    std::map<std::uint16_t, net::Time> begun_;  // since when, of those that are coming
    net::LazyTimer watch_;
    net::Notification left_;
    net::Time read_at_{}, last_{}, stuck_since_{}, unread_since_{}, watched_at_{};
    std::optional<net::Time> backlog_since_;  // since when what is read now may have stood unread
    std::size_t sent_then_{}, counted_{};
    std::size_t refusals_{};          // bytes of short words since less was pending
    std::size_t thrown_away_then_{};  // when a request was taken last
    bool spoke_{}, last_answer_{}, leaving_{}, gone_{};
    bool unreadable_{};  // what comes is no FastCGI any more
    bool finishing_{};   // the connection goes once nothing is open on it
};

}  // namespace plumkeel::fastcgi
