// One connection of a web server that speaks FastCGI: reads messages, many at once, hands their jobs to the
// gateway and sends the answers in whatever order they come.
#pragma once

#include <map>

#include "fastcgi/records.hpp"
#include "gateway/gateway.hpp"
#include "net/limit.hpp"

namespace plumkeel::fastcgi {

class Front;

class Visit : public gateway::Visit, private Told, public std::enable_shared_from_this<Visit> {
public:
    // `waited`: how long the connection may have stood unaccepted.
    Visit(Front& front, std::uint64_t number, std::shared_ptr<net::Stream> stream, net::Time waited);
    void start();

    void honoured(const gateway::Ward& ward, unsigned status, std::string_view passed, std::string body) override;
    void turned(const gateway::Ward& ward) override;
    void begin(const gateway::Ward& ward, unsigned status, std::string_view passed) override;
    void part(const gateway::Ward& ward, std::string bytes) override;
    void end(const gateway::Ward& ward, bool whole) override;
    net::Task<bool> room() override;

    std::uint64_t number() const { return number_; }
    bool busy() const { return !open_.empty() || intake_.midway() || outbox_->pending() > 0; }
    bool idle() const { return !busy() && !leaving_; }
    // For how long nothing but messages that do not come whole has been on it; 0 where there is more.
    net::Time unfinished_for() const;
    bool spoke() const { return spoke_; }  // a whole message has come
    net::Time last() const { return last_; }
    bool unread() override { return !leaving_ && stream_->unread(); }
    // Goes now, once what is pending has left.
    void leave();
    // The same without waiting for the client: it idles, and its descriptor is needed.
    void leave_at_once();

private:
    struct Open {
        gateway::Ward* ward{};
        bool keep{};
    };

    void begun(std::uint16_t number) override;
    void whole(Message message) override;
    void wrong(std::uint16_t number, Wrong why, bool keep) override;
    void taken_back(std::uint16_t number) override;
    void asks_values(std::string_view names) override;
    void unknown(std::uint8_t type) override;
    bool answering(std::uint16_t number) const override { return open_.count(number) > 0; }

    net::Task<> live(std::shared_ptr<Visit> self);
    void note_backlog(Time late);
    Time waited_unread();
    void take_in(std::string_view bytes);
    bool count_coming();
    void turn_back_unfinished();
    void finish();
    void told_leaving();
    Objection understand(const Message& message, gateway::Wanted& wanted) const;
    void object(std::uint16_t number, Objection objection, bool keep);
    void answer(std::uint16_t number, std::string head, std::string_view body, std::uint8_t protocol_status = complete);
    void refuse(std::string text);
    void closed(std::uint16_t number);
    void drop(std::uint16_t number);
    void watch();
    net::World& world() const;

    Front& front_;
    gateway::Gateway& gateway_;
    const std::uint64_t number_;
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::Outbox> outbox_;
    Intake intake_;
    std::map<std::uint16_t, Open> open_;         // whole and not answered
    std::map<std::uint16_t, net::Time> begun_;   // since when, of those that are coming
    net::Limit watch_;
    net::Signal left_;
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
