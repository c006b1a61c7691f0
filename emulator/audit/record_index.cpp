#include "emulator/audit/record_index.hpp"

#include <algorithm>

#include "emulator/record_schema.hpp"

namespace plumkeel::emulator {
namespace {

// Processes may record the same moment at times that differ by this.
constexpr std::int64_t clock_tolerance_us = 20'000;

std::string process_key(std::string_view source, const std::string& process) {
    return std::string(source) + " " + process;
}

}  // namespace

std::string RecordedEvent::text(std::string_view key) const {
    const auto* value = fields.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::int64_t RecordedEvent::integer(std::string_view key) const {
    const auto* value = fields.if_contains(key);
    if (!value) return 0;
    if (value->is_string()) return std::atoll(value->as_string().c_str());
    return value->is_number() ? value->to_number<std::int64_t>() : 0;
}

double RecordedEvent::real(std::string_view key) const {
    const auto* value = fields.if_contains(key);
    return value && value->is_number() ? value->to_number<double>() : 0;
}

bool RecordedEvent::flag(std::string_view key) const {
    const auto* value = fields.if_contains(key);
    return value && value->is_bool() && value->as_bool();
}

bool RecordedAttempt::is_known_not_run() const {
    return result == attempt_result::rejected || result == attempt_result::load_failed;
}

void RecordIndex::add(const std::string& source, const std::string& process, const boost::json::object& line) {
    RecordedEvent event{0, source, process, {}, line};
    event.time_us = event.integer(key::time);
    event.name = event.text(key::event);
    events_.push_back(std::move(event));
}

std::string RecordIndex::request_key(const RecordedEvent& event) {
    return event.text(key::controller) + "#" + event.text(key::request);
}

void RecordIndex::build() {
    std::stable_sort(events_.begin(), events_.end(),
                     [](const RecordedEvent& a, const RecordedEvent& b) { return a.time_us < b.time_us; });
    for (const RecordedEvent& event : events_) {
        index_process_event(event);
        index_attempt_event(event);
    }
    for (const RecordedEvent& event : events_) index_answer(event);
}

void RecordIndex::index_process_event(const RecordedEvent& event) {
    const std::int64_t duration_us = event.integer(key::duration_us);
    const TimeSpan span{event.time_us - duration_us, event.time_us};
    if (event.name == event::lag)
        lags_[process_key(event.source, event.process)].push_back({event.time_us, duration_us});
    if (event.is(source::scenario, event::controller_killed)) kills_[event.text(key::address)].push_back(span);
    if (event.is(source::scenario, event::controller_frozen)) freezes_[event.text(key::address)].push_back(span);
}

void RecordIndex::index_attempt_event(const RecordedEvent& event) {
    if (event.source != source::invoker || !event.has(key::request)) return;
    RecordedRequest& request = requests_[request_key(event)];
    request.request_class = event.text(key::request_class);
    if (event.name == event::attempt_received) {
        request.attempts.push_back({event.integer(key::attempt), event.time_us, 0, event.process, ""});
        return;
    }
    const bool is_end =
        event.name == event::answer || event.name == event::connection_cut || event.name == event::caller_gone;
    for (RecordedAttempt& attempt : request.attempts) {
        if (attempt.number != event.integer(key::attempt) || attempt.invoker != event.process) continue;
        if (event.name == event::answer) attempt.result = event.text(key::result);
        if (is_end && !attempt.ended_us) attempt.ended_us = event.time_us;
    }
}

void RecordIndex::index_answer(const RecordedEvent& event) {
    if (!event.is(source::client, event::answer) || event.text(key::request).empty()) return;
    const auto found = requests_.find(request_key(event));
    if (found != requests_.end()) found->second.answer = &event;
}

std::int64_t RecordIndex::longest_lag_us(std::string_view source, const std::string& process,
                                         std::int64_t time_us) const {
    const auto found = lags_.find(process_key(source, process));
    if (found == lags_.end()) return 0;
    std::int64_t longest_us = 0;
    for (const Lag& lag : found->second)
        if (lag.end_us - lag.duration_us - clock_tolerance_us <= time_us && time_us <= lag.end_us + clock_tolerance_us)
            longest_us = std::max(longest_us, lag.duration_us);
    return longest_us;
}

std::int64_t RecordIndex::remaining_freeze_us(const std::string& controller_address, std::int64_t time_us) const {
    const auto found = freezes_.find(controller_address);
    if (found == freezes_.end()) return 0;
    std::int64_t remaining_us = 0;
    for (const TimeSpan& freeze : found->second)
        if (freeze.from_us - clock_tolerance_us <= time_us + remaining_us && time_us <= freeze.to_us)
            remaining_us = std::max(remaining_us, freeze.to_us - time_us + clock_tolerance_us);
    return remaining_us;
}

bool RecordIndex::was_controller_killed(const std::string& controller_address, std::int64_t from_us,
                                        std::int64_t to_us) const {
    const auto found = kills_.find(controller_address);
    return found != kills_.end() && std::any_of(found->second.begin(), found->second.end(), [&](const TimeSpan& kill) {
               return kill.to_us >= from_us && kill.from_us <= to_us;
           });
}

}  // namespace plumkeel::emulator
