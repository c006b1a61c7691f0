// One client's connection over HTTP: reads jobs one after another, hands them to the gateway and sends their
// answers.
#pragma once

#include "gateway/gateway.hpp"
#include "http/http.hpp"
#include "net/lazy_timer.hpp"
#include "net/notification.hpp"

namespace plumkeel::web {

using gateway::ActiveRequest;
using gateway::IncomingRequest;

class Server;

class Connection : public gateway::ResponseSink, public std::enable_shared_from_this<Connection> {
public:
    Connection(Server& service, std::uint64_t number, std::shared_ptr<net::Stream> stream);
    void start();

    void send_response(const ActiveRequest& request, unsigned status, std::string_view passed,
                       std::string body) override;
    void send_rejection(const ActiveRequest& request) override;
    void begin_stream(const ActiveRequest& request, unsigned status, std::string_view passed) override;
    void write_chunk(const ActiveRequest& request, std::string bytes) override;
    void end_stream(const ActiveRequest& request, bool whole) override;
    net::Task<bool> wait_writable() override;
    // No job is open here: it goes now, as the controller takes no more.
    void go_if_idle();
    std::uint64_t number() const { return number_; }
    bool busy() const { return request_ != nullptr || (write_queue_->pending_bytes() > 0 && !write_queue_->error()); }

private:
    using Parser = http::bh::request_parser<http::bh::string_body>;

    net::Task<> live(std::shared_ptr<Connection> self);
    net::Task<bool> one_job();
    net::Task<RejectionReason> read_head(Parser& parser, bool& nobody);
    net::Task<RejectionReason> read_body(Parser& parser, bool& nobody, MemoryReservation& held);
    net::Task<bool> await_answer();
    RejectionReason understand(const Parser& parser, IncomingRequest& wanted) const;
    void say(unsigned status, const ActiveRequest& request, std::string_view passed, std::string body);
    void say_plain(unsigned status, std::string_view type, std::string body);
    void object(RejectionReason objection);
    void watch_reading();
    void bound(Time within, RejectionReason otherwise);
    void unbound() { limit_.clear(); }
    void too_slow();
    void see_reading();
    void bow_out();
    net::EventLoop& loop() const;

    Server& server_;
    gateway::Gateway& gateway_;
    const std::uint64_t number_;
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::WriteQueue> write_queue_;
    http::ReadBuffer read_buffer_;
    ActiveRequest* request_{};  // the open job
    net::Notification answered_;
    net::LazyTimer limit_, reading_;
    RejectionReason otherwise_{};  // told when the limit is reached
    std::size_t sent_then_{};
    bool keep_{}, leaving_{}, chunked_{};
};

}  // namespace plumkeel::web
