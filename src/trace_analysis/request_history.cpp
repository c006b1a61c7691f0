#include "trace_analysis/request_history.hpp"

#include <algorithm>

#include "trace/names.hpp"

namespace plumkeel::trace_analysis {

Time RequestHistory::parked_time() const {
    Time all{};
    for (std::size_t i = 0; i < transitions.size(); ++i) {
        if (transitions[i].transition.to != RequestState::parked) continue;
        const Time until = i + 1 < transitions.size() ? transitions[i + 1].at : ended_at;
        all += std::max(Time{}, until - transitions[i].at);
    }
    return all;
}

std::string RequestHistory::outcome_name() const {
    if (!outcome) return "unfinished";
    if (*outcome == RequestState::succeeded && is_late()) return "late";
    return std::string(trace::name_of(*outcome));
}

HistoryBuilder::HistoryBuilder(Each each, bool all_names, std::size_t most_open)
    : each_(std::move(each)), most_open_(most_open), names_(all_names) {}

HistoryBuilder::Open& HistoryBuilder::open(const Record& record) {
    const auto [it, fresh] = open_.try_emplace(record.request);
    if (fresh) {
        it->second.history.request = record.request;
        it->second.history.received_at = it->second.history.ended_at = record.at;
        it->second.order = ++known_;
        by_age_.emplace(known_, record.request);
    }
    return it->second;
}

void HistoryBuilder::feed(const Record& record) {
    if (names_.feed(record)) return;
    if (record.type == trace::sampled_request) {  // a sampled job, whole
        for (const trace::NestedRecord& each : trace::unpack<trace::SampledRequest>(record.body).records)
            feed({each.at, each.type, record.request, each.body});
        if (open_.count(record.request)) emit(record.request);
        return;
    }
    if (!record.request || record.type == trace::actions) return;
    const bool known = open_.count(record.request) > 0;
    if (!known && record.type == trace::client_disconnected) return;  // of a job that was closed already
    Open& it = open(record);
    RequestHistory& history = it.history;
    switch (record.type) {
        case trace::submit: {
            const auto told = trace::unpack<trace::RequestSubmitted>(record.body);
            history.begun = true;
            history.received_at = record.at;
            history.request_class = names_.request_class(told.request_class);
            history.tenant = names_.tenant(told.tenant);
            history.function = names_.function(told.function);
            history.deadline = told.remaining;
            max_remaining_ = std::max(max_remaining_, told.remaining);
            history.latency_target = std::min(names_.latency_target(told.request_class), told.remaining);
            history.is_client_retry = told.is_client_retry;
            break;
        }
        case trace::attempt_ended: {
            const auto told = trace::unpack<trace::AttemptEnded>(record.body);
            const auto attempt = std::find_if(history.attempts.begin(), history.attempts.end(),
                                              [&](const AttemptHistory& h) { return h.number == told.attempt; });
            if (attempt != history.attempts.end() && !attempt->ended_at) {
                attempt->ended_at = record.at;
                attempt->outcome = told.outcome;
                attempt->load_event = told.load_event;
                --it.out;
            }
            break;
        }
        case trace::transition:
            turned(it, record);
            break;
        default:
            break;
    }
    if (!history.outcome) history.ended_at = record.at;
    // The end of a hop is recorded before the change of state that came of it, and an outcome before the end of
    // a second hop.
    if (history.outcome && it.out == 0) emit(record.request);
    while (open_.size() > most_open_) emit(by_age_.begin()->second);
}

void HistoryBuilder::turned(Open& it, const Record& record) {
    StateTransition turn{record.at, trace::unpack<trace::TransitionRecord>(record.body)};
    RequestHistory& history = it.history;
    if (turn.transition.sent) {
        const auto& sent = *turn.transition.sent;
        history.attempts.push_back(
            {sent.attempt, names_.invoker(sent.invoker), record.at, {}, {}, {}, sent.starts_load, sent.warm});
        ++it.out;
    }
    if (turn.transition.to >= RequestState::succeeded && !history.outcome) {
        history.outcome = turn.transition.to;
        history.ended_at = record.at;
    }
    history.transitions.push_back(std::move(turn));
}

void HistoryBuilder::emit(std::uint64_t request) {
    const auto it = open_.find(request);
    each_(it->second.history);
    by_age_.erase(it->second.order);
    open_.erase(it);
}

void HistoryBuilder::finish() {
    while (!by_age_.empty()) emit(by_age_.begin()->second);
}

bool HistoryFilter::matches(const RequestHistory& history) const {
    if (from && (!history.begun || history.received_at < *from)) return false;
    if (to && history.received_at >= *to) return false;
    if (!request_class.empty() && history.request_class != request_class) return false;
    if (!tenant.empty() && history.tenant != tenant) return false;
    if (!function.empty() && history.function != function) return false;
    if (!invoker.empty() && std::none_of(history.attempts.begin(), history.attempts.end(),
                                         [&](const AttemptHistory& h) { return h.invoker == invoker; }))
        return false;
    if (outcome.empty()) return true;
    std::string wanted = outcome;
    std::replace(wanted.begin(), wanted.end(), '-', ' ');
    return wanted == "badly" ? history.ended_badly() : wanted == history.outcome_name();
}

void HistoryFilter::check() const {
    if (outcome.empty() || outcome == "badly" || outcome == "late" || outcome == "unfinished") return;
    if (!trace::parse_outcome(outcome))
        throw trace::TraceError("outcome '" + outcome +
                                "': none of honoured, late, bounced, written-off, abandoned, unfinished, badly");
}

}  // namespace plumkeel::trace_analysis
