#include "trace_analysis/history_format.hpp"

#include <fmt/format.h>

#include <boost/json.hpp>

#include "trace/names.hpp"

namespace plumkeel::trace_analysis {
namespace {

namespace json = boost::json;

double seconds(Time t) {
    return static_cast<double>(t.count()) / 1e6;
}
double ms(Time t) {
    return static_cast<double>(t.count()) / 1e3;
}

std::string span(Time t) {
    if (t >= std::chrono::seconds(10)) return fmt::format("{:.1f} s", seconds(t));
    return t >= std::chrono::seconds(1) ? fmt::format("{:.2f} s", seconds(t)) : fmt::format("{:.1f} ms", ms(t));
}

void weighed(std::string& out, const trace::TransitionRecord& told, const NameTable& names) {
    const std::string indent(16, ' ');
    for (const auto& each : told.candidates) {
        const std::string who = names.invoker(each.invoker);
        if (each.exclusion != ExclusionReason::none) {
            out += fmt::format("{}{} passed over: {}\n", indent, who, trace::describe(each.exclusion));
            continue;
        }
        out += fmt::format("{}{} would answer in {}{}{}\n", indent, who, span(each.finish),
                           each.contention > std::chrono::milliseconds(1)
                               ? fmt::format(", {} of it behind others", span(each.contention))
                               : "",
                           each.warm ? ", a copy is thought to stand there" : ", with a load first");
    }
}

std::string turn_words(const StateTransition& turn, const RequestHistory& history, const NameTable& names) {
    const trace::TransitionRecord& told = turn.transition;
    const std::string why(trace::describe(told.reason));
    switch (told.to) {
        case RequestState::in_flight:
            if (!told.sent) return "goes out: " + why;
            return fmt::format("hop {} goes to {}{}: {}", told.sent->attempt, names.invoker(told.sent->invoker),
                               told.sent->warm          ? ""
                               : told.sent->starts_load ? ", which loads the function for it"
                                                        : ", where no copy is thought to stand",
                               why);
        case RequestState::parked:
            return "parked: " + why;
        case RequestState::rejected:
            return fmt::format(
                "bounced: {}{}", why,
                told.retry_after > Time{} ? fmt::format(" (to come back after {})", span(told.retry_after)) : "");
        case RequestState::failed:
            return fmt::format("written off: {}{}", why,
                               history.attempts.empty() || told.reason == DecisionReason::may_have_run
                                   ? ""
                                   : "; it may have run, so its client can't be told to send it again");
        case RequestState::cancelled:
            return "abandoned: " + why;
        default:
            return fmt::format("{}: {}", trace::name_of(told.to), why);
    }
}

std::string hop_words(const AttemptHistory& attempt) {
    std::string out = fmt::format("hop {} at {} ends after {}: {}", attempt.number, attempt.invoker,
                                  span(*attempt.ended_at - attempt.sent_at), trace::name_of(attempt.outcome));
    if (const auto note = trace::name_of(attempt.load_event); !note.empty()) out += fmt::format(", {}", note);
    return out;
}

json::object hop_object(const AttemptHistory& attempt) {
    json::object out{{"number", attempt.number},
                     {"invoker", attempt.invoker},
                     {"sent_s", seconds(attempt.sent_at)},
                     {"loads", attempt.starts_load},
                     {"warm", attempt.warm}};
    if (attempt.ended_at) {
        out["ended_s"] = seconds(*attempt.ended_at);
        out["ending"] = trace::name_of(attempt.outcome);
        if (const auto note = trace::name_of(attempt.load_event); !note.empty()) out["note"] = note;
    }
    return out;
}

json::object turn_object(const StateTransition& turn, const NameTable& names) {
    json::object out{{"at_s", seconds(turn.at)},
                     {"to", trace::name_of(turn.transition.to)},
                     {"why", trace::describe(turn.transition.reason)}};
    if (turn.transition.retry_after > Time{}) out["come_back_after_s"] = seconds(turn.transition.retry_after);
    json::array all;
    for (const auto& each : turn.transition.candidates) {
        json::object one{{"invoker", names.invoker(each.invoker)}};
        if (each.exclusion != ExclusionReason::none) {
            one["passed_over"] = trace::describe(each.exclusion);
        } else {
            one["finish_s"] = seconds(each.finish);
            one["wait_s"] = seconds(each.contention);
            one["warm"] = each.warm;
        }
        all.push_back(std::move(one));
    }
    if (!all.empty()) out["weighed"] = std::move(all);
    return out;
}

}  // namespace

std::string format_history(const RequestHistory& history, const NameTable& names) {
    std::string out = fmt::format("job {}", names.request(history.request));
    if (names.controllers().empty()) out += fmt::format(" at {}", names.start().name);
    if (history.begun) {
        out += fmt::format(": function {}, use case {}{}{}\n", history.function, history.request_class,
                           history.tenant.empty() ? "" : ", tenant " + history.tenant,
                           history.is_client_retry ? ", sent again by its client" : "");
        out += fmt::format(
            "  taken at {:.6f} s; an answer {}its client gives up after {}\n", seconds(history.received_at),
            history.latency_target > Time{} ? fmt::format("is promised within {}, ", span(history.latency_target))
                                            : "is wanted, ",
            span(history.deadline));
    } else {
        out += ": taken before this trace, or where records are missing\n";
    }
    // What happened, in order; a hop's end comes before the turn that came of it.
    auto line = [&](Time at, const std::string& words) {
        out += fmt::format("  {:+11.6f} s  {}\n", seconds(at - history.received_at), words);
    };
    std::vector<const AttemptHistory*> ends;
    for (const AttemptHistory& attempt : history.attempts)
        if (attempt.ended_at) ends.push_back(&attempt);
    std::stable_sort(ends.begin(), ends.end(),
                     [](const AttemptHistory* a, const AttemptHistory* b) { return *a->ended_at < *b->ended_at; });
    std::size_t told = 0;
    std::uint64_t sent = 0;  // hops told of so far: one can't end before it was told
    for (const StateTransition& turn : history.transitions) {
        while (told < ends.size() && *ends[told]->ended_at <= turn.at && ends[told]->number < sent) {
            line(*ends[told]->ended_at, hop_words(*ends[told]));
            ++told;
        }
        line(turn.at, turn_words(turn, history, names));
        if (turn.transition.sent) sent = std::max(sent, turn.transition.sent->attempt + 1);
        weighed(out, turn.transition, names);
    }
    for (; told < ends.size(); ++told) line(*ends[told]->ended_at, hop_words(*ends[told]));
    for (const AttemptHistory& attempt : history.attempts)
        if (!attempt.ended_at)
            out += fmt::format("               hop {} at {} was still out where the trace ends\n", attempt.number,
                               attempt.invoker);
    const Time parked = history.parked_time();
    out += fmt::format("  so: {} after {}, {} hop{}{}{}\n", history.outcome_name(), span(history.duration()),
                       history.attempts.size(), history.attempts.size() == 1 ? "" : "s",
                       parked > Time{} ? fmt::format(", parked for {}", span(parked)) : "",
                       history.outcome == RequestState::succeeded && history.is_late()
                           ? fmt::format(", {} later than promised", span(history.duration() - history.latency_target))
                           : "");
    return out;
}

std::string format_line(const RequestHistory& history, const NameTable& names) {
    std::string attempts;
    for (const AttemptHistory& attempt : history.attempts)
        attempts += fmt::format("{}{}:{}", attempts.empty() ? "" : " ", attempt.invoker,
                                attempt.ended_at ? trace::name_of(attempt.outcome) : "out");
    return fmt::format("{:12.6f} s  job {:<10} {:<11} {:>9}  {:<16} {:<12} {:<10} {}", seconds(history.received_at),
                       names.request(history.request), history.outcome_name(), span(history.duration()),
                       history.function, history.request_class, history.tenant, attempts);
}

std::string format_json(const RequestHistory& history, const NameTable& names) {
    json::object out{{"job", names.request(history.request)},
                     {"outcome", history.outcome_name()},
                     {"ended_s", seconds(history.ended_at)},
                     {"parked_s", seconds(history.parked_time())}};
    if (history.begun) {
        out["taken_s"] = seconds(history.received_at);
        out["function"] = history.function;
        out["use_case"] = history.request_class;
        if (!history.tenant.empty()) out["tenant"] = history.tenant;
        out["promised_s"] = seconds(history.latency_target);
        out["expires_s"] = seconds(history.deadline);
        if (history.is_client_retry) out["again"] = true;
    }
    json::array attempts, turns;
    for (const AttemptHistory& attempt : history.attempts) attempts.push_back(hop_object(attempt));
    for (const StateTransition& turn : history.transitions) turns.push_back(turn_object(turn, names));
    out["hops"] = std::move(attempts);
    out["turns"] = std::move(turns);
    return json::serialize(out);
}

std::string chrome_events(const RequestHistory& history, const NameTable& names) {
    std::string out;
    const std::string request = names.request(history.request);
    const auto at = request.find('@');
    const std::string who = at == std::string::npos ? names.start().name : request.substr(at + 1);
    auto event = [&](const std::string& row, const std::string& name, Time from, Time to, const std::string& end) {
        const json::object one{
            {"ph", "X"},
            {"pid", who},
            {"tid", row},
            {"name", name},
            {"ts", from.count()},
            {"dur", std::max<Time::rep>(0, (to - from).count())},
            {"args",
             json::object{
                 {"job", request}, {"end", end}, {"use case", history.request_class}, {"tenant", history.tenant}}}};
        out += json::serialize(one) + ",\n";
    };
    for (const AttemptHistory& attempt : history.attempts)
        event(attempt.invoker, history.function, attempt.sent_at,
              attempt.ended_at.value_or(std::max(history.ended_at, attempt.sent_at)),
              attempt.ended_at ? std::string(trace::name_of(attempt.outcome)) : "still out");
    for (std::size_t i = 0; i < history.transitions.size(); ++i) {
        if (history.transitions[i].transition.to != RequestState::parked) continue;
        event("parked", history.function, history.transitions[i].at,
              i + 1 < history.transitions.size() ? history.transitions[i + 1].at : history.ended_at,
              std::string(trace::describe(history.transitions[i].transition.reason)));
    }
    return out;
}

std::string chrome_annotation(Time at, const std::string& what) {
    return json::serialize(json::object{
               {"ph", "i"}, {"s", "g"}, {"pid", "marks"}, {"tid", "marks"}, {"name", what}, {"ts", at.count()}}) +
           ",\n";
}

}  // namespace plumkeel::trace_analysis
