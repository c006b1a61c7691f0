#include "trace_analysis/history_export.hpp"

#include <algorithm>
#include <boost/json.hpp>

#include "trace/names.hpp"

namespace plumkeel::trace_analysis {
namespace {

namespace json = boost::json;

double to_seconds(Time t) {
    return static_cast<double>(t.count()) / 1e6;
}

json::object attempt_object(const AttemptHistory& attempt) {
    json::object out{{"number", attempt.number},
                     {"invoker", attempt.invoker},
                     {"sent_s", to_seconds(attempt.sent_at)},
                     {"loads", attempt.starts_load},
                     {"warm", attempt.warm}};
    if (attempt.ended_at) {
        out["ended_s"] = to_seconds(*attempt.ended_at);
        out["ending"] = trace::export_name(attempt.outcome);
        if (const auto load_event = trace::name_of(attempt.load_event); !load_event.empty()) out["note"] = load_event;
    }
    return out;
}

json::object candidate_object(const trace::TransitionRecord::Candidate& candidate, const NameTable& names) {
    json::object out{{"invoker", names.invoker(candidate.invoker)}};
    if (candidate.exclusion != ExclusionReason::none) {
        out["passed_over"] = trace::describe(candidate.exclusion);
    } else {
        out["finish_s"] = to_seconds(candidate.finish);
        out["wait_s"] = to_seconds(candidate.contention);
        out["warm"] = candidate.warm;
    }
    return out;
}

json::object transition_object(const StateTransition& transition, const NameTable& names) {
    const trace::TransitionRecord& record = transition.transition;
    json::object out{{"at_s", to_seconds(transition.at)},
                     {"to", trace::export_name(record.to)},
                     {"why", trace::describe(record.reason)}};
    if (record.retry_after > Time{}) out["come_back_after_s"] = to_seconds(record.retry_after);
    json::array candidates;
    for (const auto& candidate : record.candidates) candidates.push_back(candidate_object(candidate, names));
    if (!candidates.empty()) out["weighed"] = std::move(candidates);
    return out;
}

}  // namespace

std::string to_json(const RequestHistory& history, const NameTable& names) {
    json::object out{{"job", names.request(history.request)},
                     {"outcome", export_name(history.final_outcome())},
                     {"ended_s", to_seconds(history.ended_at)},
                     {"parked_s", to_seconds(history.parked_time())}};
    if (history.submission_recorded) {
        out["taken_s"] = to_seconds(history.received_at);
        out["function"] = history.function;
        out["use_case"] = history.request_class;
        if (!history.tenant.empty()) out["tenant"] = history.tenant;
        out["promised_s"] = to_seconds(history.latency_target);
        out["expires_s"] = to_seconds(history.deadline);
        if (history.is_client_retry) out["again"] = true;
    }
    json::array attempts, transitions;
    for (const AttemptHistory& attempt : history.attempts) attempts.push_back(attempt_object(attempt));
    for (const StateTransition& each : history.transitions) transitions.push_back(transition_object(each, names));
    out["hops"] = std::move(attempts);
    out["turns"] = std::move(transitions);
    return json::serialize(out);
}

std::string to_chrome_events(const RequestHistory& history, const NameTable& names) {
    std::string out;
    const std::string request = names.request(history.request);
    const auto separator = request.find('@');
    const std::string controller =
        separator == std::string::npos ? names.scheduler_settings().name : request.substr(separator + 1);
    const auto add = [&](const std::string& row, Time from, Time to, std::string_view end) {
        const json::object args{
            {"job", request}, {"end", end}, {"use case", history.request_class}, {"tenant", history.tenant}};
        const json::object event{{"ph", "X"},          {"pid", controller},
                                 {"tid", row},         {"name", history.function},
                                 {"ts", from.count()}, {"dur", std::max<Time::rep>(0, (to - from).count())},
                                 {"args", args}};
        out += json::serialize(event) + ",\n";
    };
    for (const AttemptHistory& attempt : history.attempts)
        add(attempt.invoker, attempt.sent_at, attempt.ended_at.value_or(std::max(history.ended_at, attempt.sent_at)),
            attempt.ended_at ? trace::export_name(attempt.outcome) : "still out");
    for (std::size_t i = 0; i < history.transitions.size(); ++i) {
        const StateTransition& transition = history.transitions[i];
        if (transition.transition.to == RequestState::parked)
            add("parked", transition.at, history.end_of_state(i), trace::describe(transition.transition.reason));
    }
    return out;
}

std::string to_chrome_event(Time at, const std::string& what) {
    const json::object event{{"ph", "i"},      {"s", "g"},     {"pid", "marks"},
                             {"tid", "marks"}, {"name", what}, {"ts", at.count()}};
    return json::serialize(event) + ",\n";
}

}  // namespace plumkeel::trace_analysis
