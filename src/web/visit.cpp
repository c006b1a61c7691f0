#include "web/visit.hpp"

#include <fmt/format.h>

#include "web/protocol.hpp"
#include "web/service.hpp"

namespace plumkeel::web {

using namespace std::chrono_literals;
namespace bh = http::bh;
namespace field = protocol::field;

constexpr Time lingering = 1s;

Visit::Visit(Service& service, std::uint64_t number, std::shared_ptr<net::Stream> stream)
    : service_(service),
      gateway_(service.gateway()),
      number_(number),
      stream_(std::move(stream)),
      outbox_(std::make_shared<net::Outbox>(service.world(), stream_)),
      inbox_(stream_, 128 * 1024),
      answered_(service.world()),
      limit_(service.world(), [this] { too_slow(); }),
      reading_(service.world(), [this] { see_reading(); }) {}

net::World& Visit::world() const {
    return gateway_.world();
}

void Visit::start() {
    world().spawn(live(shared_from_this()));
}

net::Task<> Visit::live(std::shared_ptr<Visit> self) {
    bool further = true;
    while (further) further = co_await one_job();
    unbound();
    reading_.clear();
    if (ward_) gateway_.client_left(*std::exchange(ward_, nullptr));
    // What is unread when a connection closes makes its system send a reset, which may overtake our last
    // answer: so what still comes is read and thrown away for a moment.
    while (leaving_) {
        inbox_.discard();
        const net::Error error = co_await inbox_.more();
        if (error) break;
    }
    outbox_->abandon();
    stream_->close();
    service_.visit_gone(self);
}

// From a job's head to its answer. False: the connection is done with.
net::Task<bool> Visit::one_job() {
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(gateway_.admission().rules().head_bytes));
    parser.body_limit(gateway_.admission().rules().body_bytes);
    bool nobody = false;
    Objection objection = co_await read_head(parser, nobody);
    if (nobody || leaving_) co_return false;
    if (objection != Objection::none) {
        object(objection);
        co_return false;
    }
    keep_ = parser.keep_alive();
    chunked_ = parser.get().version() >= 11;
    const auto path = http::path_of(http::view(parser.get().target()));
    const bool plain = parser.get().method() == bh::verb::get && path.size() == 2 && path[0] == "v1";
    if (plain && !parser.is_done()) {
        object(Objection::malformed);
        co_return false;
    }
    const bool measured = plain && path[1] == "metrics" && gateway_.meters();
    if (plain && (path[1] == "status" || path[1] == "health" || measured)) {
        if (measured)
            say_plain(200, "text/plain; version=0.0.4", gateway_.meters()->exposition());
        else if (path[1] == "status")
            say_plain(200, "application/json", boost::json::serialize(service_.status()) + "\n");
        else
            say_plain(gateway_.admission().closing() ? 503 : 200, "text/plain", gateway_.admission().closing() ? "closing\n" : "ok\n");
        co_return !leaving_;
    }
    Wanted wanted;
    if (path.size() != 3 || path[0] != "v1" || path[1] != "jobs" || parser.get().method() != bh::verb::post)
        objection = Objection::no_such_path;
    else
        wanted.function = path[2];
    if (objection == Objection::none) objection = understand(parser, wanted);
    if (objection == Objection::none) objection = gateway_.admission().head_read(parser.content_length().value_or(0));
    HeldBytes held(gateway_.admission());
    if (objection == Objection::none) objection = co_await read_body(parser, nobody, held);
    if (nobody || leaving_) co_return false;
    if (objection == Objection::none) objection = held.grow_to(parser.get().body().size());
    if (objection == Objection::none) objection = gateway_.admission().job_came();
    if (objection != Objection::none) {
        object(objection);
        co_return false;
    }
    wanted.body = std::move(parser.get().body());
    wanted.held = held.hand_on();
    wanted.waited = gateway_.waited_unread();
    ward_ = gateway_.take(std::move(wanted), shared_from_this());
    co_return co_await await_answer();
}

net::Task<Objection> Visit::read_head(Parser& parser, bool& nobody) {
    const auto& rules = gateway_.admission().rules();
    co_await outbox_->below(64 * 1024);  // who reads no answers gets no further jobs in
    bool begun = false;
    if (inbox_.held() == 0) bound(rules.idle_for, Objection::none);
    while (!parser.is_header_done()) {
        if (begun || inbox_.held() == 0) {
            const net::Error error = co_await inbox_.more();
            if (error) {
                nobody = true;
                break;
            }
            if (leaving_) co_return Objection::none;
        }
        if (const net::Error error = inbox_.feed(parser)) {
            unbound();
            if (error == bh::error::header_limit) co_return Objection::head_too_big;
            co_return error == bh::error::body_limit ? Objection::body_too_big : Objection::malformed;
        }
        if (!std::exchange(begun, true) && !parser.is_header_done()) bound(rules.head_within, Objection::head_too_slow);
    }
    unbound();
    co_return Objection::none;
}

net::Task<Objection> Visit::read_body(Parser& parser, bool& nobody, HeldBytes& held) {
    if (parser.is_done()) co_return Objection::none;
    // Counted from the head on, or as it comes: many half-sent bodies must not get past the bound together.
    const Objection no_room = held.grow_to(parser.content_length().value_or(0));
    if (no_room != Objection::none) co_return no_room;
    if (http::beast::iequals(parser.get()[bh::field::expect], "100-continue"))
        outbox_->send("HTTP/1.1 100 Continue\r\n\r\n");
    const Time since = world().now();
    parser.eager(true);
    bool first = inbox_.held() > 0;
    while (!parser.is_done()) {
        if (!std::exchange(first, false)) {
            bound(3s, Objection::body_too_slow);  // nothing at all for so long is too slow for any rate
            const net::Error error = co_await inbox_.more();
            unbound();
            if (error) {
                nobody = true;
                co_return Objection::none;
            }
            if (leaving_) co_return Objection::none;
        }
        if (const net::Error error = inbox_.feed(parser))
            co_return error == bh::error::body_limit ? Objection::body_too_big : Objection::malformed;
        const Objection full = held.grow_to(parser.get().body().size());
        if (full != Objection::none) co_return full;
        const auto slow = gateway_.admission().pace(since, world().now(), parser.get().body().size());
        if (slow != Objection::none && !parser.is_done()) co_return slow;
    }
    co_return Objection::none;
}

Objection Visit::understand(const Parser& parser, Wanted& wanted) const {
    const Admission& admission = gateway_.admission();
    const protocol::OwnFields own = protocol::read_own(parser.get(), &wanted.passed);
    if (admission.name(wanted.function) != Objection::none) return Objection::bad_function;
    const auto use = gateway_.charter().use_cases.find(own.use_case);
    if (use == gateway_.charter().use_cases.end()) return Objection::no_such_use_case;
    wanted.use_case = &use->second;
    wanted.tenant = own.tenant;
    wanted.mark = own.mark;
    if (use->second.repeat == Repeat::referenced && wanted.mark.empty()) return Objection::mark_missing;
    if (wanted.mark.size() > admission.rules().name_bytes || wanted.tenant.size() > admission.rules().name_bytes)
        return Objection::bad_field;
    if (const auto off = admission.time_left(own.time_left, wanted.left); off != Objection::none) return off;
    bool good = true;
    auto figure = [&](std::string_view digits, int most) -> std::optional<int> {
        if (digits.empty()) return {};
        const auto value = http::number<int>(digits);
        good = good && value && *value >= 0 && *value <= most;
        return value;
    };
    if (const auto lanes = figure(own.lanes, 100'000)) wanted.lanes = std::max(1, *lanes);
    wanted.memory = figure(own.memory, 100'000'000);
    if (const auto told = figure(own.load_time, 3'600'000)) wanted.told_load = std::chrono::milliseconds(*told);
    good = good && (own.again.empty() || own.again == "0" || own.again == "1");
    wanted.again = own.again == "1";
    return good ? Objection::none : Objection::bad_field;
}

// Waits for the job's answer, and notes when the client leaves before. What comes early of a further job stays
// in the inbox, which is bounded; its client is not watched meanwhile.
net::Task<bool> Visit::await_answer() {
    while (ward_) {
        if (inbox_.held() == 0) {
            const net::Error error = co_await inbox_.more();
            if (error) co_return false;
        } else {
            co_await answered_.wait();
        }
    }
    co_return !leaving_;
}

void Visit::honoured(const Ward& ward, unsigned status, std::string_view passed, std::string body) {
    say(status, ward, passed, std::move(body));
}

void Visit::turned(const Ward& ward) {
    say(ward.state == JobState::bounced ? 503 : 504, ward, "", "");
}

void Visit::say(unsigned status, const Ward& ward, std::string_view passed, std::string body) {
    http::HeadWriter head(http::status_line(status));
    head.add(field::outcome, protocol::outcome_word(ward.state)).add(field::controller, gateway_.incarnation())
        .add(field::job, static_cast<std::int64_t>(ward.id));
    head.add(field::hops, static_cast<std::int64_t>(ward.hops.size()));
    if (ward.state == JobState::bounced && ward.retry_after > Time{}) {
        head.add("Retry-After", (ward.retry_after + 1s - Time(1)) / 1s);
        head.add(field::retry_after_ms, ward.retry_after / 1ms);
    }
    head.lines(passed).add("Content-Length", static_cast<std::int64_t>(body.size()));
    const bool last = !keep_ || gateway_.admission().closing();
    if (last) head.add("Connection", "close");
    outbox_->send(head.done(), std::make_shared<const std::string>(std::move(body)));
    ward_ = nullptr;
    watch_reading();
    if (last)
        bow_out();
    else
        bound(gateway_.admission().rules().idle_for, Objection::none);
    answered_.fire();
}

void Visit::begin(const Ward& ward, unsigned status, std::string_view passed) {
    http::HeadWriter head(http::status_line(status));
    head.add(field::outcome, "honoured").add(field::controller, gateway_.incarnation())
        .add(field::job, static_cast<std::int64_t>(ward.id));
    head.add(field::hops, static_cast<std::int64_t>(ward.hops.size())).lines(passed);
    if (chunked_)
        head.add("Transfer-Encoding", "chunked");
    else
        keep_ = false;  // an older client knows the end by the connection's
    if (!keep_ || gateway_.admission().closing()) head.add("Connection", "close");
    outbox_->send(head.done());
    watch_reading();
}

void Visit::part(const Ward&, std::string bytes) {
    if (bytes.empty()) return;
    if (!chunked_) return outbox_->send(std::move(bytes));
    std::string size = fmt::format("{:x}\r\n", bytes.size());
    outbox_->send(std::move(size), std::make_shared<const std::string>(std::move(bytes)));
    outbox_->send("\r\n");
    watch_reading();
}

void Visit::end(const Ward&, bool whole) {
    ward_ = nullptr;
    if (!whole) {
        // The client must not take what it has for the whole answer.
        stream_->reset();
    } else {
        if (chunked_) outbox_->send("0\r\n\r\n");
        if (!keep_ || gateway_.admission().closing())
            bow_out();
        else
            bound(gateway_.admission().rules().idle_for, Objection::none);
    }
    answered_.fire();
}

net::Task<bool> Visit::room() {
    const auto self = shared_from_this();
    co_await outbox_->below(gateway_.charter().pool.stream_ahead);
    co_return !outbox_->broken();
}

void Visit::say_plain(unsigned status, std::string_view type, std::string body) {
    http::HeadWriter head(http::status_line(status));
    head.add("Content-Type", type).add("Content-Length", static_cast<std::int64_t>(body.size()));
    const bool last = !keep_ || gateway_.admission().closing();
    if (last) head.add("Connection", "close");
    outbox_->send(head.done(), std::make_shared<const std::string>(std::move(body)));
    if (last) bow_out();
}

// What the door objects to was never taken: it may be tried again wherever the objection lets it.
void Visit::object(Objection objection) {
    gateway_.admission().count(objection);
    const Told& words = told(objection);
    gateway_.log().line(Log::Level::info, "turned_back_at_door", {{"objection", words.word}});
    std::string body = std::string(words.text) + "\n";
    http::HeadWriter head(http::status_line(static_cast<unsigned>(words.status)));
    head.add(field::objection, words.word);
    if (words.come_back) {
        head.add(field::outcome, "bounced");
        const Time pause = gateway_.admission().retry_after();
        head.add("Retry-After", (pause + 1s - Time(1)) / 1s).add(field::retry_after_ms, pause / 1ms);
    }
    head.add("Content-Type", "text/plain").add("Content-Length", static_cast<std::int64_t>(body.size()));
    head.add("Connection", "close");  // what may still come of this one is not read
    outbox_->send(head.done(), std::make_shared<const std::string>(std::move(body)));
    bow_out();
}

// A client that takes nothing of what waits for it is let go, so that it holds no memory.
void Visit::watch_reading() {
    if (reading_.is_set() || outbox_->pending() == 0) return;
    sent_then_ = outbox_->sent();
    reading_.set(world().now() + gateway_.admission().rules().unread_for);
}

void Visit::see_reading() {
    if (outbox_->pending() == 0 || outbox_->sent() != sent_then_) return watch_reading();
    gateway_.admission().count(Objection::unread_answer);
    stream_->reset();
    outbox_->abandon();
}

// Should the coming read take longer, the visit ends; with the objection, if there is one to tell.
void Visit::bound(Time within, Objection otherwise) {
    otherwise_ = otherwise;
    limit_.set(world().now() + within);
}

void Visit::too_slow() {
    if (otherwise_ == Objection::none)
        stream_->close();
    else
        object(otherwise_);
}

void Visit::bow_out() {
    if (std::exchange(leaving_, true)) return;
    auto farewell = [](std::shared_ptr<Visit> self) -> net::Task<> {
        co_await self->outbox_->below(0);
        self->stream_->end_sending();
        co_await self->world().sleep(lingering);
        self->stream_->close();
    };
    world().spawn(farewell(shared_from_this()));
}

void Visit::go_if_idle() {
    if (!ward_ && !leaving_ && inbox_.held() == 0) bow_out();
}

}  // namespace plumkeel::web
