#include "trace_analysis/history_builder.hpp"

#include <algorithm>

namespace plumkeel::trace_analysis {

HistoryBuilder::HistoryBuilder(HistoryCallback callback, bool keep_released, std::size_t max_open)
    : on_history_(std::move(callback)), max_open_(max_open), names_(keep_released) {}

HistoryBuilder::OpenRequest& HistoryBuilder::find_or_add_request(const Record& record) {
    const auto [it, is_new] = open_requests_.try_emplace(record.request);
    if (is_new) {
        it->second.history.request = record.request;
        it->second.history.received_at = it->second.history.ended_at = record.at;
        it->second.sequence_number = ++opened_count_;
        request_by_sequence_number_.emplace(opened_count_, record.request);
    }
    return it->second;
}

void HistoryBuilder::feed(const Record& record) {
    if (names_.feed(record)) return;
    if (record.type == trace::sampled_request) return on_sampled_request(record);
    if (!record.request || record.type == trace::actions) return;
    const bool is_closed = open_requests_.count(record.request) == 0;
    if (is_closed && record.type == trace::client_disconnected) return;
    OpenRequest& request = find_or_add_request(record);
    switch (record.type) {
        case trace::submit:
            on_submit(request.history, record);
            break;
        case trace::attempt_ended:
            on_attempt_ended(request, record);
            break;
        case trace::transition:
            on_transition(request, record);
            break;
        default:
            break;
    }
    if (!request.history.outcome) request.history.ended_at = record.at;
    // After its outcome, a request stays open until its other attempts have ended too.
    if (request.history.outcome && request.attempts_in_flight == 0) close(record.request);
    while (open_requests_.size() > max_open_) close(request_by_sequence_number_.begin()->second);
}

void HistoryBuilder::on_sampled_request(const Record& record) {
    for (const trace::NestedRecord& each : trace::unpack<trace::SampledRequest>(record.body).records)
        feed({each.at, each.type, record.request, each.body});
    if (open_requests_.count(record.request)) close(record.request);
}

void HistoryBuilder::on_submit(RequestHistory& history, const Record& record) {
    const auto submitted = trace::unpack<trace::RequestSubmitted>(record.body);
    history.submission_recorded = true;
    history.received_at = record.at;
    history.request_class = names_.request_class(submitted.request_class);
    history.tenant = names_.tenant(submitted.tenant);
    history.function = names_.function(submitted.function);
    history.deadline = submitted.remaining;
    max_remaining_ = std::max(max_remaining_, submitted.remaining);
    history.latency_target = std::min(names_.latency_target(submitted.request_class), submitted.remaining);
    history.is_client_retry = submitted.is_client_retry;
}

void HistoryBuilder::on_attempt_ended(OpenRequest& request, const Record& record) {
    const auto ended = trace::unpack<trace::AttemptEnded>(record.body);
    auto& attempts = request.history.attempts;
    const auto attempt = std::find_if(attempts.begin(), attempts.end(),
                                      [&](const AttemptHistory& each) { return each.number == ended.attempt; });
    if (attempt == attempts.end() || attempt->ended_at) return;
    attempt->ended_at = record.at;
    attempt->outcome = ended.outcome;
    attempt->load_event = ended.load_event;
    --request.attempts_in_flight;
}

void HistoryBuilder::on_transition(OpenRequest& request, const Record& record) {
    StateTransition transition{record.at, trace::unpack<trace::TransitionRecord>(record.body)};
    RequestHistory& history = request.history;
    if (const auto& sent = transition.transition.sent) {
        AttemptHistory attempt;
        attempt.number = sent->attempt;
        attempt.invoker = names_.invoker(sent->invoker);
        attempt.sent_at = record.at;
        attempt.starts_load = sent->starts_load;
        attempt.warm = sent->warm;
        history.attempts.push_back(std::move(attempt));
        ++request.attempts_in_flight;
    }
    if (transition.transition.to >= RequestState::succeeded && !history.outcome) {
        history.outcome = transition.transition.to;
        history.ended_at = record.at;
    }
    history.transitions.push_back(std::move(transition));
}

void HistoryBuilder::close(std::uint64_t request) {
    const auto it = open_requests_.find(request);
    on_history_(it->second.history);
    request_by_sequence_number_.erase(it->second.sequence_number);
    open_requests_.erase(it);
}

void HistoryBuilder::finish() {
    while (!request_by_sequence_number_.empty()) close(request_by_sequence_number_.begin()->second);
}

}  // namespace plumkeel::trace_analysis
