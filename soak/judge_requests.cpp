#include <fmt/format.h>

#include <algorithm>

#include "soak/judge_checks.hpp"

namespace plumkeel::soak {
namespace {

constexpr std::int64_t answer_slack_us = 500 * us_per_ms;       // allowed delay of an answer after its request's budget
constexpr std::int64_t abandoned_slack_us = 100 * us_per_ms;    // allowed delay from abandonment to the last attempt
constexpr std::int64_t deadline_slack_us = 150 * us_per_ms;     // allowed excess of an attempt's stated remaining time
constexpr std::int64_t termination_grace_us = 700 * us_per_ms;  // requests sent later after SIGTERM need no answer

/// Events that proxies and invokers recorded for one request.
struct RequestEvents {
    std::vector<const Event*> received_attempts, started_runs;
};

class RequestChecker {
public:
    explicit RequestChecker(const JudgeContext& context)
        : context_(context), history_(context.history), verdict_(context.verdict) {
        for (const Event& event : history_.events) {
            if (event.type == EventType::attempt_received)
                events_[event.request_id].received_attempts.push_back(&event);
            if (event.type == EventType::run_started) events_[event.request_id].started_runs.push_back(&event);
        }
    }

    void check(const Request& request) {
        count(request);
        check_answer(request);
        const auto events = events_.find(request.id);
        if (events == events_.end()) return;
        check_runs(request, events->second);
        for (const Event* attempt : events->second.received_attempts) check_attempt(request, *attempt);
    }

private:
    static bool is_rejected(const Request& request) { return request.status == 503 || request.status == 429; }

    const ControllerRun& controller_run_of(const Request& request) const {
        return history_.controllers.at(request.controller_number)[request.controller_run_index];
    }

    // Moves the time limit of an answer behind each pause of the controller or of the clients that covers the limit or
    // ended at most answer_slack_us before it.
    std::int64_t extended_by_pauses(const Request& request, std::int64_t time_us) const {
        for (const auto* pauses : {&controller_run_of(request).pauses, &history_.client_pauses})
            for (const Pause& pause : *pauses)
                if (time_us >= pause.from_us && time_us <= pause.to_us + answer_slack_us)
                    time_us = std::max(time_us, pause.to_us + answer_slack_us);
        return time_us;
    }

    void count(const Request& request) {
        ++verdict_.requests;
        if (request.status == 200)
            ++verdict_.served;
        else if (is_rejected(request))
            ++verdict_.rejected;
        else if (request.status != 0)
            ++verdict_.failed;
    }

    void check_answer(const Request& request) {
        if (request.answer_count > 1)
            context_.report(Rule::answered_twice, request.id,
                            fmt::format("{} answers; at most 1 is allowed", request.answer_count));
        if (!request.answer_valid)
            context_.report(
                Rule::unreadable, request.id,
                fmt::format("answer with status {} is malformed or belongs to another request", request.status));
        if (request.abandoned_us != never) return;
        const std::int64_t answer_limit_us =
            extended_by_pauses(request, request.sent_us + request.budget_ms * us_per_ms + answer_slack_us);
        if (request.answered_us <= answer_limit_us) return;
        const std::int64_t terminated_us = controller_run_of(request).termination_requested_us;
        const bool sent_to_terminating_controller =
            terminated_us != never && request.sent_us > terminated_us + termination_grace_us;
        if (request.lost_with_process || sent_to_terminating_controller)
            ++verdict_.excused;
        else
            report_missing_answer(request);
    }

    void report_missing_answer(const Request& request) {
        if (request.connection_lost_us != never)
            context_.report(Rule::lost, request.id,
                            fmt::format("connection lost {} ms after the request was sent; budget {} ms",
                                        (request.connection_lost_us - request.sent_us) / us_per_ms, request.budget_ms));
        else if (request.answered_us == never)
            context_.report(Rule::lost, request.id,
                            fmt::format("request was never answered; budget {} ms", request.budget_ms));
        else
            context_.report(Rule::late, request.id,
                            fmt::format("answered {} ms after the request was sent; budget {} ms",
                                        (request.answered_us - request.sent_us) / us_per_ms, request.budget_ms));
    }

    void check_runs(const Request& request, const RequestEvents& events) {
        if (request.request_class != RequestClass::ledger) return;
        const std::size_t runs = events.started_runs.size();
        if (runs > 1)
            context_.report(Rule::duplicate, request.id,
                            fmt::format("request may run at most once but ran {} times", runs));
        if (runs > 0 && is_rejected(request))
            context_.report(Rule::rejected_but_ran, request.id,
                            "request ran on an invoker but was answered as rejected");
    }

    void check_attempt(const Request& request, const Event& attempt) {
        ++verdict_.attempts;
        if (!is_timed_attempt(attempt)) return;
        const std::int64_t since_abandoned_us =
            request.abandoned_us == never ? 0 : attempt.time_us - request.abandoned_us;
        if (since_abandoned_us > abandoned_slack_us + socket_read_slack_us)
            context_.report(Rule::after_client, request.id,
                            fmt::format("attempt reached invoker {} {} ms after the client abandoned the request",
                                        attempt.invoker_number, since_abandoned_us / us_per_ms));
        const std::int64_t remaining_us = request.sent_us + request.budget_ms * us_per_ms - attempt.time_us;
        if (attempt.value * us_per_ms > remaining_us + deadline_slack_us + socket_read_slack_us)
            context_.report(Rule::deadline, request.id,
                            fmt::format("attempt stated {} ms of remaining time; the request had {} ms left",
                                        attempt.value, remaining_us / us_per_ms));
    }

    const JudgeContext& context_;
    const RunHistory& history_;
    Verdict& verdict_;
    std::map<std::uint64_t, RequestEvents> events_;
};

}  // namespace

void check_requests(const JudgeContext& context) {
    RequestChecker checker(context);
    for (const Request& request : context.history.requests) checker.check(request);
}

}  // namespace plumkeel::soak
