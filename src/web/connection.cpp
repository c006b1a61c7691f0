#include "web/connection.hpp"

#include <fmt/format.h>

#include "web/protocol.hpp"
#include "web/server.hpp"

namespace plumkeel::web {

using namespace std::chrono_literals;
namespace bh = http::bh;
namespace field = protocol::field;

constexpr Time lingering = 1s;

Connection::Connection(Server& service, std::uint64_t number, std::shared_ptr<net::Stream> stream)
    : server_(service),
      gateway_(service.gateway()),
      number_(number),
      stream_(std::move(stream)),
      write_queue_(std::make_shared<net::WriteQueue>(service.loop(), stream_)),
      read_buffer_(stream_, 128 * 1024),
      answered_(service.loop()),
      limit_(service.loop(), [this] { too_slow(); }),
      reading_(service.loop(), [this] { see_reading(); }) {}

net::EventLoop& Connection::loop() const {
    return gateway_.loop();
}

void Connection::start() {
    loop().spawn(live(shared_from_this()));
}

net::Task<> Connection::live(std::shared_ptr<Connection> self) {
    bool further = true;
    while (further) further = co_await one_job();
    unbound();
    reading_.clear();
    if (request_) gateway_.client_disconnected(*std::exchange(request_, nullptr));
    // What is unread when a connection closes makes its system send a reset, which may overtake our last
    // answer: so what still comes is read and thrown away for a moment.
    while (leaving_) {
        read_buffer_.discard();
        const net::Error error = co_await read_buffer_.read_more();
        if (error) break;
    }
    write_queue_->abandon();
    stream_->close();
    server_.connection_closed(self);
}

// From a job's head to its answer. False: the connection is done with.
net::Task<bool> Connection::one_job() {
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(gateway_.admission().limits().max_head_bytes));
    parser.body_limit(gateway_.admission().limits().max_body_bytes);
    bool nobody = false;
    RejectionReason objection = co_await read_head(parser, nobody);
    if (nobody || leaving_) co_return false;
    if (objection != RejectionReason::none) {
        object(objection);
        co_return false;
    }
    keep_ = parser.keep_alive();
    chunked_ = parser.get().version() >= 11;
    const auto path = http::path_segments(http::view(parser.get().target()));
    const bool plain = parser.get().method() == bh::verb::get && path.size() == 2 && path[0] == "v1";
    if (plain && !parser.is_done()) {
        object(RejectionReason::malformed);
        co_return false;
    }
    const bool measured = plain && path[1] == "metrics" && gateway_.metrics();
    if (plain && (path[1] == "status" || path[1] == "health" || measured)) {
        if (measured)
            say_plain(200, "text/plain; version=0.0.4", gateway_.metrics()->exposition());
        else if (path[1] == "status")
            say_plain(200, "application/json", boost::json::serialize(server_.status()) + "\n");
        else
            say_plain(gateway_.admission().closing() ? 503 : 200, "text/plain",
                      gateway_.admission().closing() ? "closing\n" : "ok\n");
        co_return !leaving_;
    }
    IncomingRequest wanted;
    if (path.size() != 3 || path[0] != "v1" || path[1] != "jobs" || parser.get().method() != bh::verb::post)
        objection = RejectionReason::no_such_path;
    else
        wanted.function = path[2];
    if (objection == RejectionReason::none) objection = understand(parser, wanted);
    if (objection == RejectionReason::none)
        objection = gateway_.admission().admit_body(parser.content_length().value_or(0));
    MemoryReservation held(gateway_.admission());
    if (objection == RejectionReason::none) objection = co_await read_body(parser, nobody, held);
    if (nobody || leaving_) co_return false;
    if (objection == RejectionReason::none) objection = held.grow_to(parser.get().body().size());
    if (objection == RejectionReason::none) objection = gateway_.admission().admit_request();
    if (objection != RejectionReason::none) {
        object(objection);
        co_return false;
    }
    wanted.body = std::move(parser.get().body());
    wanted.held_bytes = held.release();
    wanted.waited = gateway_.waited_unread();
    request_ = gateway_.submit(std::move(wanted), shared_from_this());
    co_return co_await await_answer();
}

net::Task<RejectionReason> Connection::read_head(Parser& parser, bool& nobody) {
    const auto& rules = gateway_.admission().limits();
    co_await write_queue_->wait_below(64 * 1024);  // who reads no answers gets no further jobs in
    bool begun = false;
    if (read_buffer_.size() == 0) bound(rules.idle_timeout, RejectionReason::none);
    while (!parser.is_header_done()) {
        if (begun || read_buffer_.size() == 0) {
            const net::Error error = co_await read_buffer_.read_more();
            if (error) {
                nobody = true;
                break;
            }
            if (leaving_) co_return RejectionReason::none;
        }
        if (const net::Error error = read_buffer_.feed(parser)) {
            unbound();
            if (error == bh::error::header_limit) co_return RejectionReason::head_too_big;
            co_return error == bh::error::body_limit ? RejectionReason::body_too_big : RejectionReason::malformed;
        }
        if (!std::exchange(begun, true) && !parser.is_header_done())
            bound(rules.head_timeout, RejectionReason::head_too_slow);
    }
    unbound();
    co_return RejectionReason::none;
}

net::Task<RejectionReason> Connection::read_body(Parser& parser, bool& nobody, MemoryReservation& held) {
    if (parser.is_done()) co_return RejectionReason::none;
    // Counted from the head on, or as it comes: many half-sent bodies must not get past the bound together.
    const RejectionReason no_room = held.grow_to(parser.content_length().value_or(0));
    if (no_room != RejectionReason::none) co_return no_room;
    if (http::beast::iequals(parser.get()[bh::field::expect], "100-continue"))
        write_queue_->send("HTTP/1.1 100 Continue\r\n\r\n");
    const Time since = loop().now();
    parser.eager(true);
    bool first = read_buffer_.size() > 0;
    while (!parser.is_done()) {
        if (!std::exchange(first, false)) {
            bound(3s, RejectionReason::body_too_slow);  // nothing at all for so long is too slow for any rate
            const net::Error error = co_await read_buffer_.read_more();
            unbound();
            if (error) {
                nobody = true;
                co_return RejectionReason::none;
            }
            if (leaving_) co_return RejectionReason::none;
        }
        if (const net::Error error = read_buffer_.feed(parser))
            co_return error == bh::error::body_limit ? RejectionReason::body_too_big : RejectionReason::malformed;
        const RejectionReason full = held.grow_to(parser.get().body().size());
        if (full != RejectionReason::none) co_return full;
        const auto slow = gateway_.admission().check_body_rate(since, loop().now(), parser.get().body().size());
        if (slow != RejectionReason::none && !parser.is_done()) co_return slow;
    }
    co_return RejectionReason::none;
}

RejectionReason Connection::understand(const Parser& parser, IncomingRequest& wanted) const {
    const Admission& admission = gateway_.admission();
    const protocol::OwnFields own = protocol::read_own(parser.get(), &wanted.forwarded_headers);
    if (admission.check_name(wanted.function) != RejectionReason::none) return RejectionReason::bad_function;
    const auto use = gateway_.config().request_classes.find(own.request_class);
    if (use == gateway_.config().request_classes.end()) return RejectionReason::no_such_request_class;
    wanted.request_class = &use->second;
    wanted.tenant = own.tenant;
    wanted.idempotency_key = own.mark;
    if (use->second.idempotency == Idempotency::deduplicated && wanted.idempotency_key.empty())
        return RejectionReason::idempotency_key_missing;
    if (wanted.idempotency_key.size() > admission.limits().max_name_bytes ||
        wanted.tenant.size() > admission.limits().max_name_bytes)
        return RejectionReason::bad_field;
    if (const auto off = admission.parse_remaining(own.time_left, wanted.remaining); off != RejectionReason::none)
        return off;
    bool good = true;
    auto figure = [&](std::string_view digits, int most) -> std::optional<int> {
        if (digits.empty()) return {};
        const auto value = http::parse_number<int>(digits);
        good = good && value && *value >= 0 && *value <= most;
        return value;
    };
    if (const auto lanes = figure(own.lanes, 100'000)) wanted.concurrency = std::max(1, *lanes);
    wanted.memory = figure(own.memory, 100'000'000);
    if (const auto told = figure(own.load_time, 3'600'000))
        wanted.declared_load_time = std::chrono::milliseconds(*told);
    good = good && (own.again.empty() || own.again == "0" || own.again == "1");
    wanted.is_client_retry = own.again == "1";
    return good ? RejectionReason::none : RejectionReason::bad_field;
}

// Waits for the job's answer, and notes when the client leaves before. What comes early of a further job stays
// in the read buffer, which is bounded; its client is not watched meanwhile.
net::Task<bool> Connection::await_answer() {
    while (request_) {
        if (read_buffer_.size() == 0) {
            const net::Error error = co_await read_buffer_.read_more();
            if (error) co_return false;
        } else {
            co_await answered_.wait();
        }
    }
    co_return !leaving_;
}

void Connection::send_response(const ActiveRequest& request, unsigned status, std::string_view passed,
                               std::string body) {
    say(status, request, passed, std::move(body));
}

void Connection::send_rejection(const ActiveRequest& request) {
    say(request.state == RequestState::rejected ? 503 : 504, request, "", "");
}

void Connection::say(unsigned status, const ActiveRequest& request, std::string_view passed, std::string body) {
    http::HeadWriter head(http::status_line(status));
    head.add(field::outcome, protocol::outcome_word(request.state))
        .add(field::controller, gateway_.incarnation())
        .add(field::request, static_cast<std::int64_t>(request.id));
    head.add(field::attempts, static_cast<std::int64_t>(request.attempts.size()));
    if (request.state == RequestState::rejected && request.retry_after > Time{}) {
        head.add("Retry-After", (request.retry_after + 1s - Time(1)) / 1s);
        head.add(field::retry_after_ms, request.retry_after / 1ms);
    }
    head.add_raw_lines(passed).add("Content-Length", static_cast<std::int64_t>(body.size()));
    const bool last = !keep_ || gateway_.admission().closing();
    if (last) head.add("Connection", "close");
    write_queue_->send(head.finish(), std::make_shared<const std::string>(std::move(body)));
    request_ = nullptr;
    watch_reading();
    if (last)
        bow_out();
    else
        bound(gateway_.admission().limits().idle_timeout, RejectionReason::none);
    answered_.notify();
}

void Connection::begin_stream(const ActiveRequest& request, unsigned status, std::string_view passed) {
    http::HeadWriter head(http::status_line(status));
    head.add(field::outcome, "honoured")
        .add(field::controller, gateway_.incarnation())
        .add(field::request, static_cast<std::int64_t>(request.id));
    head.add(field::attempts, static_cast<std::int64_t>(request.attempts.size())).add_raw_lines(passed);
    if (chunked_)
        head.add("Transfer-Encoding", "chunked");
    else
        keep_ = false;  // an older client knows the end by the connection's
    if (!keep_ || gateway_.admission().closing()) head.add("Connection", "close");
    write_queue_->send(head.finish());
    watch_reading();
}

void Connection::write_chunk(const ActiveRequest&, std::string bytes) {
    if (bytes.empty()) return;
    if (!chunked_) return write_queue_->send(std::move(bytes));
    std::string size = fmt::format("{:x}\r\n", bytes.size());
    write_queue_->send(std::move(size), std::make_shared<const std::string>(std::move(bytes)));
    write_queue_->send("\r\n");
    watch_reading();
}

void Connection::end_stream(const ActiveRequest&, bool whole) {
    request_ = nullptr;
    if (!whole) {
        // The client must not take what it has for the whole answer.
        stream_->reset();
    } else {
        if (chunked_) write_queue_->send("0\r\n\r\n");
        if (!keep_ || gateway_.admission().closing())
            bow_out();
        else
            bound(gateway_.admission().limits().idle_timeout, RejectionReason::none);
    }
    answered_.notify();
}

net::Task<bool> Connection::wait_writable() {
    const auto self = shared_from_this();
    co_await write_queue_->wait_below(gateway_.config().pool.stream_buffer_bytes);
    co_return !write_queue_->error();
}

void Connection::say_plain(unsigned status, std::string_view type, std::string body) {
    http::HeadWriter head(http::status_line(status));
    head.add("Content-Type", type).add("Content-Length", static_cast<std::int64_t>(body.size()));
    const bool last = !keep_ || gateway_.admission().closing();
    if (last) head.add("Connection", "close");
    write_queue_->send(head.finish(), std::make_shared<const std::string>(std::move(body)));
    if (last) bow_out();
}

// What the door objects to was never taken: it may be tried again wherever the objection lets it.
void Connection::object(RejectionReason objection) {
    gateway_.admission().count(objection);
    const RejectionResponse& words = response_for(objection);
    gateway_.log().write(Log::Level::info, "turned_back_at_door", {{"objection", words.word}});
    std::string body = std::string(words.text) + "\n";
    http::HeadWriter head(http::status_line(static_cast<unsigned>(words.status)));
    head.add(field::objection, words.word);
    if (words.is_retryable) {
        head.add(field::outcome, "bounced");
        const Time pause = gateway_.admission().retry_after();
        head.add("Retry-After", (pause + 1s - Time(1)) / 1s).add(field::retry_after_ms, pause / 1ms);
    }
    head.add("Content-Type", "text/plain").add("Content-Length", static_cast<std::int64_t>(body.size()));
    head.add("Connection", "close");  // what may still come of this one is not read
    write_queue_->send(head.finish(), std::make_shared<const std::string>(std::move(body)));
    bow_out();
}

// A client that takes nothing of what waits for it is let go, so that it holds no memory.
void Connection::watch_reading() {
    if (reading_.is_set() || write_queue_->pending_bytes() == 0) return;
    sent_then_ = write_queue_->sent_bytes();
    reading_.set(loop().now() + gateway_.admission().limits().unread_timeout);
}

void Connection::see_reading() {
    if (write_queue_->pending_bytes() == 0 || write_queue_->sent_bytes() != sent_then_) return watch_reading();
    gateway_.admission().count(RejectionReason::unread_answer);
    stream_->reset();
    write_queue_->abandon();
}

// Should the coming read take longer, the visit ends; with the objection, if there is one to tell.
void Connection::bound(Time within, RejectionReason otherwise) {
    otherwise_ = otherwise;
    limit_.set(loop().now() + within);
}

void Connection::too_slow() {
    if (otherwise_ == RejectionReason::none)
        stream_->close();
    else
        object(otherwise_);
}

void Connection::bow_out() {
    if (std::exchange(leaving_, true)) return;
    auto farewell = [](std::shared_ptr<Connection> self) -> net::Task<> {
        co_await self->write_queue_->wait_below(0);
        self->stream_->shutdown_send();
        co_await self->loop().sleep(lingering);
        self->stream_->close();
    };
    loop().spawn(farewell(shared_from_this()));
}

void Connection::go_if_idle() {
    if (!request_ && !leaving_ && read_buffer_.size() == 0) bow_out();
}

}  // namespace plumkeel::web
