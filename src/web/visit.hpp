// One client's connection over HTTP: reads jobs one after another, hands them to the gateway and sends their
// answers.
#pragma once

#include "gateway/gateway.hpp"
#include "http/http.hpp"
#include "net/limit.hpp"

namespace plumkeel::web {

using gateway::Wanted;
using gateway::Ward;

class Service;

class Visit : public gateway::Visit, public std::enable_shared_from_this<Visit> {
public:
    Visit(Service& service, std::uint64_t number, std::shared_ptr<net::Stream> stream);
    void start();

    void honoured(const Ward& ward, unsigned status, std::string_view passed, std::string body) override;
    void turned(const Ward& ward) override;
    void begin(const Ward& ward, unsigned status, std::string_view passed) override;
    void part(const Ward& ward, std::string bytes) override;
    void end(const Ward& ward, bool whole) override;
    net::Task<bool> room() override;
    // No job is open here: it goes now, as the controller takes no more.
    void go_if_idle();
    std::uint64_t number() const { return number_; }
    bool busy() const { return ward_ != nullptr || (outbox_->pending() > 0 && !outbox_->broken()); }

private:
    using Parser = http::bh::request_parser<http::bh::string_body>;

    net::Task<> live(std::shared_ptr<Visit> self);
    net::Task<bool> one_job();
    net::Task<Objection> read_head(Parser& parser, bool& nobody);
    net::Task<Objection> read_body(Parser& parser, bool& nobody, HeldBytes& held);
    net::Task<bool> await_answer();
    Objection understand(const Parser& parser, Wanted& wanted) const;
    void say(unsigned status, const Ward& ward, std::string_view passed, std::string body);
    void say_plain(unsigned status, std::string_view type, std::string body);
    void object(Objection objection);
    void watch_reading();
    void bound(Time within, Objection otherwise);
    void unbound() { limit_.clear(); }
    void too_slow();
    void see_reading();
    void bow_out();
    net::World& world() const;

    Service& service_;
    gateway::Gateway& gateway_;
    const std::uint64_t number_;
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::Outbox> outbox_;
    http::Inbox inbox_;
    Ward* ward_{};  // the open job
    net::Signal answered_;
    net::Limit limit_, reading_;
    Objection otherwise_{};  // told when the limit is reached
    std::size_t sent_then_{};
    bool keep_{}, leaving_{}, chunked_{};
};

}  // namespace plumkeel::web
