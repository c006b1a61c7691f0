#include "gateway/lines.hpp"

#include <algorithm>

#include "orca/orca.hpp"

namespace plumkeel::gateway {

namespace bh = http::bh;
using protocol::Cause;
using protocol::ending_of;
using protocol::Reached;

constexpr std::size_t light_lines = 2;  // past the cap, for probes and orders

class Line : public std::enable_shared_from_this<Line> {
public:
    explicit Line(Lines& lines)
        : lines_(lines), world_(lines.world_), idle_(lines.world_, [this] {
              if (!errand_) close();
          }) {}

    void start(std::shared_ptr<Errand> errand) {
        take(std::move(errand));
        world_.spawn(live(shared_from_this(), lines_.address_));
    }

    // Puts the errand's bytes on an idle line. False: it turned out closed, and nothing of it was written.
    bool carry(const std::shared_ptr<Errand>& errand) {
        idle_.clear();
        if (!alive_ || stream_->ended()) {
            close();
            return false;
        }
        take(errand);
        if (put()) {
            ++lines_.counts_.reused;
            return true;
        }
        let_go();
        close();
        return false;
    }

    void close() {
        alive_ = false;
        idle_.clear();
        if (stream_) stream_->close();
        if (outbox_) outbox_->abandon();
    }

    Reached reached() const {
        if (!stream_) return Reached::nothing_connected;
        return outbox_->sent() > sent_before_ ? Reached::some_written : Reached::nothing_written;
    }

    std::shared_ptr<Errand> let_go() {
        if (errand_) errand_->line_.reset();
        return std::exchange(errand_, nullptr);
    }

    // The hop whose connection is still being made, if there is one.
    std::shared_ptr<Errand> unsent() const {
        return errand_ && !errand_->light && reached() != Reached::some_written ? errand_ : nullptr;
    }

    void rest() { idle_.set(world_.now() + lines_.rules_.idle_for); }

private:
    void take(std::shared_ptr<Errand> errand) {
        errand_ = std::move(errand);
        errand_->line_ = shared_from_this();
        errand_->state_ = Errand::State::out;
    }

    bool put() {
        sent_before_ = outbox_->sent();
        outbox_->send(errand_->head, errand_->body);
        return !outbox_->broken() || outbox_->sent() > sent_before_;
    }

    net::Task<> live(std::shared_ptr<Line> self, net::Address address) {
        auto connected = co_await world_.connect(address, lines_.rules_.connect_within);
        if (connected.error) {
            ++lines_.counts_.unreachable;
            alive_ = false;
            if (const auto errand = let_go()) lines_.end(errand, ending_of(Reached::nothing_connected, Cause::no_connection));
            lines_.line_gone(self);
            co_return;
        }
        ++lines_.counts_.opened;
        stream_ = std::move(connected.stream);
        outbox_ = std::make_shared<net::Outbox>(world_, stream_);
        http::Inbox inbox(stream_, 256 * 1024);
        if (!alive_) {
            stream_->close();  // what it was opened for was called off
        } else if (errand_ && put()) {
            while (alive_) {
                const bool on = co_await answer(inbox);
                if (!on || !alive_) break;
                if (!errand_) lines_.line_free(self);
            }
        }
        const bool was_idle = alive_ && !errand_;
        close();
        if (was_idle) ++lines_.counts_.broke_idle;
        if (const auto errand = let_go()) lines_.end(errand, ending_of(reached(), Cause::line_broke));
        lines_.line_gone(self);
    }

    // Reads one answer and ends its errand. False: the line can't be used further.
    net::Task<bool> answer(http::Inbox& inbox) {
        bh::response_parser<bh::string_body> parser;
        parser.header_limit(64 * 1024);
        parser.body_limit(boost::none);
        parser.eager(true);
        bool streaming = false;
        do {
            net::Error error;
            if (inbox.held() == 0 || parser.got_some()) error = co_await inbox.more();
            if (error == net::asio::error::eof) {
                if (!parser.got_some() || !errand_) co_return false;
                error = {};
                parser.put_eof(error);
                if (error || !parser.is_done()) co_return false;
                break;
            }
            if (error || !alive_) co_return false;
            if (!errand_) co_return false;  // bytes that answer nothing
            if (inbox.feed(parser)) co_return false;
            if (parser.is_header_done() && parser.get().result_int() / 100 == 1) co_return false;
            if (!streaming && is_large(parser)) {
                std::string passed;
                protocol::read_own(parser.get(), &passed);
                if (!errand_->begins(parser.get().result_int(), passed)) {
                    const auto errand = let_go();
                    lines_.end(errand, Ending::called_off);
                    co_return false;
                }
                streaming = true;
                errand_->state_ = Errand::State::streaming;
                world_.drop(errand_->limit_);
            }
            if (streaming && !parser.get().body().empty()) {
                errand_->part(std::exchange(parser.get().body(), {}));
                const auto errand = errand_;
                const bool on = co_await errand->room();
                if (!on || !alive_) co_return false;
            }
        } while (!parser.is_done());
        if (!errand_) co_return false;
        const bool reusable = parser.keep_alive() && outbox_->pending() == 0;
        finish(parser);
        co_return reusable;
    }

    template <class Parser>
    bool is_large(Parser& parser) const {
        if (!parser.is_header_done() || parser.is_done() || errand_->light) return false;
        const auto& message = parser.get();
        if (ending_of(message.result_int(), http::field(message, protocol::field::never_ran)) != Ending::honoured)
            return false;
        const auto length = parser.content_length();
        return message.body().size() > lines_.rules_.answer_held || (length && *length > lines_.rules_.answer_held);
    }

    template <class Parser>
    void finish(Parser& parser) {
        Outcome outcome;
        const auto own = protocol::read_own(parser.get(), &outcome.passed);
        outcome.status = parser.get().result_int();
        outcome.ending = ending_of(outcome.status, own.never_ran);
        outcome.note = protocol::note_of(own.note);
        outcome.company = std::clamp(http::number<int>(own.company).value_or(0), 0, 1000);
        outcome.copies = std::clamp(http::number<int>(own.copies).value_or(0), 0, 1000);
        outcome.report = orca::read(own.report);
        outcome.body = std::move(parser.get().body());
        lines_.end(let_go(), std::move(outcome));
    }

    Lines& lines_;
    net::World& world_;
    bool alive_ = true;
    std::shared_ptr<net::Stream> stream_;
    std::shared_ptr<net::Outbox> outbox_;
    std::shared_ptr<Errand> errand_;
    std::size_t sent_before_{};
    net::Limit idle_;  // how long it may lie unused
};

Lines::Lines(net::World& world, const LineRules& rules, net::Address address, LineCounts& counts)
    : world_(world), rules_(rules), address_(std::move(address)), counts_(counts) {}

Lines::~Lines() = default;

void Lines::send(std::shared_ptr<Errand> errand) {
    errand->limit_ = world_.at(errand->until, [this, weak = errand->weak_from_this()] {
        if (const auto late = weak.lock()) stop(*late, Cause::time_ran_out);
    });
    if (dispatch(errand)) return;
    if (queue_.size() >= rules_.queued) return end_soon(errand, Ending::never_sent);
    queue_.push_back(std::move(errand));
}

// Puts the errand on an idle line or a new one; false where it has to wait for one.
bool Lines::dispatch(const std::shared_ptr<Errand>& errand) {
    while (!idle_.empty() && !errand->fresh_line) {
        const auto line = idle_.back();
        idle_.pop_back();
        if (line->carry(errand)) return true;
    }
    if (lines_.size() >= rules_.most + (errand->light ? light_lines : 0)) {
        if (errand->fresh_line && !idle_.empty()) {  // an idle line makes way for a new one
            idle_.front()->close();
            idle_.erase(idle_.begin());
        }
        return false;
    }
    lines_.push_back(std::make_shared<Line>(*this));
    lines_.back()->start(errand);
    return true;
}

void Lines::line_free(const std::shared_ptr<Line>& line) {
    idle_.push_back(line);
    line->rest();
    while (!queue_.empty()) {
        const auto errand = queue_.front();
        if (errand->state_ == Errand::State::ended) {
            queue_.pop_front();
            continue;
        }
        if (!dispatch(errand)) break;
        queue_.pop_front();
    }
}

void Lines::line_gone(const std::shared_ptr<Line>& line) {
    std::erase(lines_, line);
    std::erase(idle_, line);
    while (!queue_.empty()) {
        const auto errand = queue_.front();
        if (errand->state_ != Errand::State::ended && !dispatch(errand)) break;
        queue_.pop_front();
    }
}

void Lines::end(const std::shared_ptr<Errand>& errand, Outcome outcome) {
    if (!errand || errand->state_ == Errand::State::ended) return;
    errand->state_ = Errand::State::ended;
    world_.drop(errand->limit_);
    errand->ended(std::move(outcome));
}

void Lines::end(const std::shared_ptr<Errand>& errand, Ending ending) {
    Outcome outcome;
    outcome.ending = ending;
    end(errand, std::move(outcome));
}

void Lines::end_soon(std::shared_ptr<Errand> errand, Ending ending) {
    world_.at(world_.now(), [this, errand = std::move(errand), ending] { end(errand, ending); });
}

// The errand is no longer wanted, or out of time. What is on a line takes the line with it.
void Lines::stop(Errand& errand, Cause cause) {
    if (errand.state_ == Errand::State::ended) return;
    const auto self = errand.shared_from_this();
    Reached reached = Reached::nothing_written;
    if (const auto line = errand.line_) {
        reached = line->reached();
        line->let_go();
        line->close();
    }
    std::erase(queue_, self);
    end_soon(self, protocol::ending_of(reached, cause));
}

void Lines::call_off(Errand& errand) {
    stop(errand, Cause::called_off);
}

void Lines::withdraw() {
    std::vector<std::shared_ptr<Errand>> unsent;
    for (const auto& errand : queue_)
        if (!errand->light) unsent.push_back(errand);
    for (const auto& line : lines_)
        if (const auto errand = line->unsent()) unsent.push_back(errand);
    for (const auto& errand : unsent) stop(*errand, Cause::withdrawn);
}

void Lines::move_to(net::Address address) {
    if (address == address_) return;
    address_ = std::move(address);
    for (const auto& line : std::exchange(idle_, {})) line->close();
}

}  // namespace plumkeel::gateway
