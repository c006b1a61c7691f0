#include "trace_analysis/history_format.hpp"

#include <fmt/format.h>

#include <algorithm>

#include "trace/names.hpp"

namespace plumkeel::trace_analysis {
namespace {

/// Estimated waiting times up to this are not shown.
constexpr Time min_shown_contention = std::chrono::milliseconds(1);
constexpr std::size_t candidate_indent = 16;

double to_seconds(Time t) {
    return static_cast<double>(t.count()) / 1e6;
}

std::string format_duration(Time t) {
    if (t >= std::chrono::seconds(10)) return fmt::format("{:.1f} s", to_seconds(t));
    if (t >= std::chrono::seconds(1)) return fmt::format("{:.2f} s", to_seconds(t));
    return fmt::format("{:.1f} ms", to_seconds(t) * 1e3);
}

std::string format_candidate(const trace::TransitionRecord::Candidate& candidate, const NameTable& names) {
    const std::string invoker = names.invoker(candidate.invoker);
    if (candidate.exclusion != ExclusionReason::none)
        return fmt::format("{} excluded: {}", invoker, trace::describe(candidate.exclusion));
    std::string contention;
    if (candidate.contention > min_shown_contention)
        contention = fmt::format(", {} of it behind other requests", format_duration(candidate.contention));
    return fmt::format("{} estimated to respond in {}{}{}", invoker, format_duration(candidate.finish), contention,
                       candidate.warm ? ", with a loaded copy" : ", after loading the function");
}

std::string format_sent(const trace::TransitionRecord::SentAttempt& sent, const NameTable& names) {
    std::string load_note;
    if (!sent.warm)
        load_note = sent.starts_load ? ", which loads the function for it" : ", which is not known to hold a copy";
    return fmt::format("attempt {} is sent to {}{}", sent.attempt, names.invoker(sent.invoker), load_note);
}

std::string format_failure(const trace::TransitionRecord& transition, const RequestHistory& history) {
    const bool client_must_not_retry = !history.attempts.empty() && transition.reason != DecisionReason::may_have_run;
    return fmt::format("failed: {}{}", trace::describe(transition.reason),
                       client_must_not_retry ? "; it may have run, so its client is not told to retry" : "");
}

std::string format_transition(const trace::TransitionRecord& transition, const RequestHistory& history,
                              const NameTable& names) {
    const std::string_view reason = trace::describe(transition.reason);
    switch (transition.to) {
        case RequestState::in_flight:
            return fmt::format("{}: {}", transition.sent ? format_sent(*transition.sent, names) : "in flight", reason);
        case RequestState::rejected:
            return transition.retry_after > Time{}
                       ? fmt::format("rejected: {} (retry after {})", reason, format_duration(transition.retry_after))
                       : fmt::format("rejected: {}", reason);
        case RequestState::failed:
            return format_failure(transition, history);
        default:
            return fmt::format("{}: {}", trace::name_of(transition.to), reason);
    }
}

std::string format_attempt_end(const AttemptHistory& attempt) {
    const std::string_view load_event = trace::name_of(attempt.load_event);
    return fmt::format("attempt {} at {} ends after {}: {}{}{}", attempt.number, attempt.invoker,
                       format_duration(*attempt.ended_at - attempt.sent_at), trace::name_of(attempt.outcome),
                       load_event.empty() ? "" : ", ", load_event);
}

std::string format_heading(const RequestHistory& history, const NameTable& names) {
    std::string out = fmt::format("request {}", names.request(history.request));
    if (names.controllers().empty()) out += fmt::format(" at {}", names.scheduler_settings().name);
    if (!history.submission_recorded) return out + ": received before this trace, or where records are missing\n";
    out += fmt::format(": function {}, request class {}{}{}\n", history.function, history.request_class,
                       history.tenant.empty() ? "" : ", tenant " + history.tenant,
                       history.is_client_retry ? ", retried by its client" : "");
    const std::string target = history.latency_target > Time{}
                                   ? fmt::format("latency target {}, ", format_duration(history.latency_target))
                                   : "";
    return out + fmt::format("  received at {:.6f} s; {}deadline after {}\n", to_seconds(history.received_at), target,
                             format_duration(history.deadline));
}

std::vector<const AttemptHistory*> attempts_by_end(const RequestHistory& history) {
    std::vector<const AttemptHistory*> ended;
    for (const AttemptHistory& attempt : history.attempts)
        if (attempt.ended_at) ended.push_back(&attempt);
    std::stable_sort(ended.begin(), ended.end(),
                     [](const AttemptHistory* a, const AttemptHistory* b) { return *a->ended_at < *b->ended_at; });
    return ended;
}

/// Returns the transitions and the ends of attempts in order of time. At equal times, the end of an attempt is after
/// the transition that sent the attempt, and before other transitions.
std::string format_events(const RequestHistory& history, const NameTable& names) {
    std::string out;
    const auto add = [&](Time at, const std::string& event) {
        out += fmt::format("  {:+11.6f} s  {}\n", to_seconds(at - history.received_at), event);
    };
    const auto ended = attempts_by_end(history);
    auto next_ended = ended.begin();
    std::uint64_t sent_attempts = 0;  // number of attempts sent so far
    for (const StateTransition& transition : history.transitions) {
        for (; next_ended != ended.end(); ++next_ended) {
            if (*(*next_ended)->ended_at > transition.at || (*next_ended)->number >= sent_attempts) break;
            add(*(*next_ended)->ended_at, format_attempt_end(**next_ended));
        }
        add(transition.at, format_transition(transition.transition, history, names));
        if (transition.transition.sent)
            sent_attempts = std::max(sent_attempts, transition.transition.sent->attempt + 1);
        for (const auto& candidate : transition.transition.candidates)
            out += std::string(candidate_indent, ' ') + format_candidate(candidate, names) + "\n";
    }
    for (; next_ended != ended.end(); ++next_ended) add(*(*next_ended)->ended_at, format_attempt_end(**next_ended));
    for (const AttemptHistory& attempt : history.attempts)
        if (!attempt.ended_at)
            out += fmt::format("               attempt {} at {} was in flight at the end of the trace\n",
                               attempt.number, attempt.invoker);
    return out;
}

std::string format_outcome(const RequestHistory& history) {
    const Time parked = history.parked_time();
    std::string out = fmt::format("  outcome: {} after {}, {} attempt{}", name_of(history.final_outcome()),
                                  format_duration(history.duration()), history.attempts.size(),
                                  history.attempts.size() == 1 ? "" : "s");
    if (parked > Time{}) out += fmt::format(", parked for {}", format_duration(parked));
    if (history.final_outcome() == FinalOutcome::late)
        out +=
            fmt::format(", {} over its latency target", format_duration(history.duration() - history.latency_target));
    return out + "\n";
}

}  // namespace

std::string format_history(const RequestHistory& history, const NameTable& names) {
    return format_heading(history, names) + format_events(history, names) + format_outcome(history);
}

std::string format_line(const RequestHistory& history, const NameTable& names) {
    std::string attempts;
    for (const AttemptHistory& attempt : history.attempts)
        attempts += fmt::format("{}{}:{}", attempts.empty() ? "" : " ", attempt.invoker,
                                attempt.ended_at ? trace::name_of(attempt.outcome) : "in flight");
    return fmt::format("{:12.6f} s  request {:<10} {:<11} {:>9}  {:<16} {:<12} {:<10} {}",
                       to_seconds(history.received_at), names.request(history.request),
                       name_of(history.final_outcome()), format_duration(history.duration()), history.function,
                       history.request_class, history.tenant, attempts);
}

}  // namespace plumkeel::trace_analysis
