#include "emulator/invoker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

#include "emulator/processes.hpp"
#include "emulator/record_schema.hpp"
#include "http/exchange.hpp"
#include "orca/orca.hpp"
#include "web/protocol.hpp"

namespace plumkeel::emulator {
namespace {

namespace field = protocol::field;

constexpr double fetch_time_share = 0.6;  // share of a load's time; after the fetch, the function starts
constexpr Time fetch_timeout = 30s;
constexpr Time preload_timeout = 8s;
constexpr Time expiry_interval = 200ms;
constexpr std::size_t key_expiry_threshold = 10'000;  // expired keys are removed above this number of keys
constexpr double max_idle_close_delay_us = 20'000;
constexpr std::size_t min_response_bytes = 2;
constexpr double min_capacity_cores = 0.01;

std::string load_event_name(LoadEvent load_event) {
    static const char* names[] = {"", "stood-loaded", "began-load", "joined-load", "load-broke"};
    return names[static_cast<int>(load_event)];
}

Time milliseconds(double ms) {
    return Time(static_cast<Time::rep>(ms * 1000));
}

}  // namespace

InvokerEmulator::InvokerEmulator(InvokerSettings settings, const std::string& record_file)
    : settings_(std::move(settings)),
      log_(record_file),
      random_(settings_.seed),
      slow_start_(settings_),
      cache_(settings_.memory_mb, settings_.max_concurrent_loads) {
    handler_ = {[this](const auto& connection, auto request) { handle_request(connection, request); },
                [this](const auto& connection) { handle_abandoned(connection); }};
    record_start();
    listen();
    read_commands(loop_, [this](const Command& command) { execute(command); });
    record_lag(loop_, log_);
    loop_.spawn(expire_idle_copies());
}

void InvokerEmulator::record_start() {
    const SlowStartSettings& slow_start = settings_.slow_start;
    log_.write(event::start, {{key::cold, slow_start.enabled},
                              {key::capacity, settings_.capacity()},
                              {key::cold_share, slow_start.cold_share},
                              {key::slow_start_us, slow_start.duration.count()},
                              {key::rate_multiple, slow_start.rate_multiple},
                              {key::window_us, slow_start.window.count()},
                              {key::mean_run_time_ms, settings_.mean_run_time_ms},
                              {key::deduplication_us, settings_.deduplication_window.count()}});
}

// Commands: refuse on|off (stops listening), and those of InvokerFaults::apply().
void InvokerEmulator::execute(const Command& command) {
    faults_.apply(command, loop_.now());
    if (command.verb() == "refuse") set_listening(!command.is_on());
    log_.write(event::fault, {{key::verb, command.verb()}, {key::on, command.is_on()}});
}

void InvokerEmulator::set_listening(bool listening) {
    if (!listening && listener_) {
        listener_->close();
        listener_.reset();
    } else if (listening && !listener_ && !failed_) {
        listen();
    }
}

void InvokerEmulator::listen() {
    listener_ = listen_or_exit(loop_, settings_.port);
    accept_connections(loop_, listener_, handler_);
}

void InvokerEmulator::handle_request(const Connection& connection, const HttpConnection::Request& request) {
    if (failed_) return connection->reset();
    const auto path = http::path_segments(http::to_string_view(request.target()));
    if (path.size() == 2 && path[1] == "load") {
        if (faults_.silent) return;
        return run_unless_paused([this, connection] {
            if (!faults_.silent) answer(connection, 200, {});
        });
    }
    if (path.size() != 3) return answer(connection, 404, {});
    if (path[1] == "copies")
        return handle_preload(connection, path[2], std::string(http::field(request, field::controller)), request);
    if (path[1] != "run" || request.method() != http::beast_http::verb::post) return answer(connection, 404, {});
    handle_attempt(parse_attempt(connection, path[2], request));
}

InvokerEmulator::AttemptPointer InvokerEmulator::parse_attempt(const Connection& connection,
                                                               const std::string& function,
                                                               const HttpConnection::Request& request) {
    auto attempt = std::make_shared<Attempt>();
    attempt->connection = connection;
    attempt->controller = http::field(request, field::controller);
    attempt->request = http::field(request, field::request);
    attempt->number = http::field(request, field::attempt);
    attempt->function = function;
    attempt->request_class = http::field(request, field::request_class);
    attempt->idempotency_key = http::field(request, field::idempotency_key);
    attempt->concurrency =
        http::parse_number<int>(http::field(request, field::concurrency)).value_or(attempt->concurrency);
    attempt->memory_mb = http::parse_number<int>(http::field(request, field::memory)).value_or(attempt->memory_mb);
    std::istringstream(request.body()) >> attempt->client_request_id >> attempt->run_time_ms >> attempt->load_time_ms >>
        attempt->response_bytes;
    return attempt;
}

// Records an attempt on its arrival, even during a pause; it starts after the pause.
void InvokerEmulator::handle_attempt(const AttemptPointer& attempt) {
    record(event::attempt_received, *attempt);
    fail_if_overloaded();
    if (failed_) return;
    if (random_.next() < faults_.arrival_cut_share) {
        record(event::connection_cut, *attempt);
        return attempt->connection->reset();
    }
    if (faults_.silent) return;
    if (faults_.rejects_all) return reject(*attempt);
    for (const auto& other : pending_) attempt->concurrent_requests += other->function == attempt->function;
    pending_.push_back(attempt);
    run_unless_paused([this, attempt] { run_or_queue(attempt); });
}

void InvokerEmulator::handle_abandoned(const Connection& connection) {
    for (const auto& attempt : std::vector(pending_)) {
        if (attempt->connection != connection) continue;
        record(event::caller_gone, *attempt);
        std::erase(pending_, attempt);
        std::erase(queue_, attempt);  // drops a queued attempt; a running one continues
    }
}

void InvokerEmulator::fail_if_overloaded() {
    const auto work_s = slow_start_.overload_after_attempt(loop_.now());
    if (!work_s) return;
    log_.write(event::overloaded, {{key::load_s, *work_s}});
    failed_ = true;
    if (listener_) listener_->close();
    listener_.reset();
    for (const auto& attempt : pending_) attempt->connection->reset();
    pending_.clear();
}

void InvokerEmulator::run_or_queue(const AttemptPointer& attempt) {
    if (!is_pending(attempt)) return;
    if (const auto copy = cache_.free_copy(attempt->function)) {
        if (attempt->load_event == LoadEvent::none) attempt->load_event = LoadEvent::was_loaded;
        return run_attempt(attempt, copy);
    }
    if (queue_.size() >= settings_.queue_limit) {
        std::erase(pending_, attempt);
        return reject(*attempt);
    }
    queue_.push_back(attempt);
    const int loading = cache_.loading(attempt->function);
    const auto queued = std::count_if(queue_.begin(), queue_.end(),
                                      [&](const auto& each) { return each->function == attempt->function; });
    if (loading * attempt->concurrency < queued && load(attempt->function, *attempt))
        attempt->load_event = LoadEvent::started_load;
    else if (attempt->load_event == LoadEvent::none && loading)
        attempt->load_event = LoadEvent::joined_load;
}

bool InvokerEmulator::is_pending(const AttemptPointer& attempt) const {
    return std::find(pending_.begin(), pending_.end(), attempt) != pending_.end();
}

void InvokerEmulator::run_attempt(const AttemptPointer& attempt, const std::shared_ptr<FunctionCopy>& copy) {
    ++copy->running;
    ++running_attempts_;
    record(is_duplicate(*attempt) ? event::duplicate_ignored : event::run, *attempt);
    const Time now = loop_.now();
    const double contention = std::max(1.0, running_attempts_ / settings_.cores);
    const double slow_start_factor = settings_.capacity() / std::max(slow_start_.capacity(now), min_capacity_cores);
    const double duration_ms =
        attempt->run_time_ms / settings_.speed * contention * faults_.run_time_factor(now) * slow_start_factor;
    loop_.call_at(now + milliseconds(duration_ms),
                  [this, attempt, copy] { run_unless_paused([this, attempt, copy] { finish(attempt, *copy); }); });
}

// Returns true if an attempt with the same idempotency key ran here within the deduplication window, so that this one
// has no effect. Otherwise stores the key with the current time.
bool InvokerEmulator::is_duplicate(const Attempt& attempt) {
    if (attempt.idempotency_key.empty()) return false;
    const auto last_run = idempotency_keys_.find(attempt.idempotency_key);
    if (last_run != idempotency_keys_.end() && last_run->second + settings_.deduplication_window > loop_.now())
        return true;
    idempotency_keys_[attempt.idempotency_key] = loop_.now();
    return false;
}

void InvokerEmulator::finish(const AttemptPointer& attempt, FunctionCopy& copy) {
    --copy.running;
    --running_attempts_;
    copy.idle_since = loop_.now();
    if (is_pending(attempt)) {
        std::erase(pending_, attempt);
        respond(*attempt);
    }
    start_queued();
}

void InvokerEmulator::respond(const Attempt& attempt) {
    if (faults_.silent || random_.next() < faults_.lost_response_share) return record(event::response_lost, attempt);
    const std::string body(std::max(attempt.response_bytes, min_response_bytes), 'x');
    const std::string head =
        response_head(200,
                      {{std::string(field::load_event), load_event_name(attempt.load_event)},
                       {std::string(field::concurrent_requests), std::to_string(attempt.concurrent_requests)}},
                      body.size());
    const bool cut_in_head = random_.next() < faults_.head_cut_share;
    const bool cut_in_body = !cut_in_head && random_.next() < faults_.body_cut_share;
    if (cut_in_head || cut_in_body) {
        record(event::connection_cut, attempt);
        const std::size_t sent = cut_in_head ? head.size() / 2 : head.size() + body.size() / 2;
        return attempt.connection->reply_truncated(head + body, sent);
    }
    record(event::answer, attempt, attempt_result::succeeded);
    attempt.connection->reply(head, body);
    if (!faults_.closes_idle) return;
    // Closes the connection at a time when the controller may be sending its next attempt on it.
    const Time delay(static_cast<Time::rep>(random_.next() * max_idle_close_delay_us));
    loop_.call_at(loop_.now() + delay, [connection = attempt.connection] {
        if (!connection->is_request_pending()) connection->close();
    });
}

void InvokerEmulator::reject(const Attempt& attempt) {
    respond_not_run(attempt, attempt_result::rejected, LoadEvent::none);
}

void InvokerEmulator::respond_not_run(const Attempt& attempt, std::string_view result, LoadEvent load_event) {
    record(event::answer, attempt, result);
    answer(attempt.connection, 503,
           {{std::string(field::never_ran), std::string(result)},
            {std::string(field::load_event), load_event_name(load_event)}});
}

bool InvokerEmulator::load(const std::string& function, const Attempt& attempt) {
    const auto copy = cache_.begin_load(function, attempt.memory_mb, attempt.concurrency);
    if (!copy) return false;
    log_.write(event::load_started, {{key::function, function}});
    loop_.spawn(fetch(copy, attempt.load_time_ms));
    return true;
}

net::Task<> InvokerEmulator::fetch(std::shared_ptr<FunctionCopy> copy, double load_time_ms) {
    const std::string target =
        fmt::format("/v1/fetch/{}?ms={:.1f}", http::percent_encode(copy->function), load_time_ms * fetch_time_share);
    std::string head = http::HeadWriter("GET " + target + " HTTP/1.1")
                           .add("Host", settings_.store_address)
                           .add("Connection", "close")
                           .finish();
    const auto exchange_result = co_await http::exchange(loop_, *net::Address::parse(settings_.store_address),
                                                         std::move(head), "", fetch_timeout);
    if (exchange_result.error || exchange_result.response.result_int() != 200) co_return fail_load(copy);
    co_await loop_.sleep(milliseconds(load_time_ms * (1 - fetch_time_share)));
    copy->loaded = true;
    copy->idle_since = loop_.now();
    start_queued();
}

void InvokerEmulator::fail_load(const std::shared_ptr<FunctionCopy>& copy) {
    cache_.remove(copy);
    log_.write(event::load_failed, {{key::function, copy->function}});
    for (const auto& attempt : std::deque(queue_)) {
        if (attempt->function != copy->function || cache_.free_copy(attempt->function)) continue;
        std::erase(queue_, attempt);
        std::erase(pending_, attempt);
        if (!faults_.silent) respond_not_run(*attempt, attempt_result::load_failed, LoadEvent::load_failed);
    }
}

// Runs queued attempts on free copies, loads the functions of other queued attempts unless they are loaded or loading
// already, and answers preload requests that have ended.
void InvokerEmulator::start_queued() {
    if (failed_) return;
    for (const auto& attempt : std::deque(queue_)) {
        if (const auto copy = cache_.free_copy(attempt->function)) {
            std::erase(queue_, attempt);
            if (attempt->load_event == LoadEvent::none) attempt->load_event = LoadEvent::joined_load;
            run_attempt(attempt, copy);
            continue;
        }
        if (!cache_.contains(attempt->function) && load(attempt->function, *attempt))
            attempt->load_event = LoadEvent::started_load;
    }
    for (const PendingPreload& preload : std::exchange(pending_preloads_, {})) answer_preload(preload);
}

net::Task<> InvokerEmulator::expire_idle_copies() {
    for (;;) {
        co_await loop_.sleep(expiry_interval);
        cache_.remove_idle_since_before(loop_.now() - settings_.keep_alive);
        start_queued();
        if (idempotency_keys_.size() <= key_expiry_threshold) continue;
        std::erase_if(idempotency_keys_, [this](const auto& key_and_time) {
            return key_and_time.second + settings_.deduplication_window < loop_.now();
        });
    }
}

void InvokerEmulator::handle_preload(const Connection& connection, const std::string& function,
                                     const std::string& controller, const HttpConnection::Request& request) {
    if (request.method() == http::beast_http::verb::delete_) {
        cache_.remove_idle(function);
        return answer(connection, 200, {});
    }
    const int copies = http::parse_number<int>(http::field(request, field::copies)).value_or(0);
    log_.write(event::preload, {{key::controller, controller}, {key::function, function}, {key::copies, copies}});
    if (faults_.silent) return;
    if (faults_.rejects_all)
        return answer(connection, 503, {{std::string(field::never_ran), std::string(attempt_result::rejected)}});
    const Attempt default_attempt;
    int present_copies = cache_.loaded(function) + cache_.loading(function);
    while (present_copies < copies && load(function, default_attempt)) ++present_copies;
    answer_preload({connection, function, copies, loop_.now() + preload_timeout});
}

// Answers a preload request if its copies are loaded, none is loading, or it has timed out; otherwise keeps it pending.
void InvokerEmulator::answer_preload(const PendingPreload& preload) {
    const int loaded = cache_.loaded(preload.function);
    if (loaded < preload.copies && cache_.loading(preload.function) > 0 && loop_.now() < preload.timeout) {
        pending_preloads_.push_back(preload);
        return;
    }
    answer(preload.connection, loaded >= preload.copies ? 200 : 503,
           {{std::string(field::copies), std::to_string(loaded)}});
}

void InvokerEmulator::run_unless_paused(std::function<void()> action) {
    const Time pause_end = faults_.paused_until(loop_.now());
    if (pause_end == Time{})
        action();
    else
        loop_.call_at(pause_end, std::move(action));
}

std::string InvokerEmulator::response_head(unsigned status, const HeaderFields& fields, std::size_t body_bytes) const {
    http::HeadWriter head(http::status_line(status));
    for (const auto& [name, value] : fields)
        if (!value.empty()) head.add(name, value);
    LoadReport report;
    report.in_flight = static_cast<double>(pending_.size());
    report.queued = static_cast<double>(queue_.size());
    return head.add(orca::header_name, orca::format(report))
        .add("Content-Length", static_cast<std::int64_t>(body_bytes))
        .finish();
}

void InvokerEmulator::answer(const Connection& connection, unsigned status, const HeaderFields& fields) {
    if (connection->is_request_pending()) connection->reply(response_head(status, fields, 0), "");
}

void InvokerEmulator::record(std::string_view event_name, const Attempt& attempt, std::string_view result) {
    boost::json::object record_fields{{key::controller, attempt.controller},
                                      {key::request, attempt.request},
                                      {key::attempt, attempt.number},
                                      {key::function, attempt.function},
                                      {key::request_class, attempt.request_class},
                                      {key::origin, attempt.client_request_id}};
    if (!attempt.idempotency_key.empty()) record_fields[key::idempotency_key] = attempt.idempotency_key;
    if (!result.empty()) record_fields[key::result] = result;
    log_.write(event_name, std::move(record_fields));
}

int run_invoker(const std::string& settings_file, const std::string& record_file) {
    InvokerEmulator(read_invoker_settings(settings_file), record_file).run();
    return 0;
}

}  // namespace plumkeel::emulator
