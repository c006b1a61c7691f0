#include <fmt/format.h>

#include <algorithm>

#include "soak/judge_checks.hpp"

namespace plumkeel::soak {
namespace {

constexpr std::int64_t answer_slack_us = 500 * ms;     // after the budget; later, the request is lost
constexpr std::int64_t abandoned_slack_us = 100 * ms;  // from the client's end to an attempt
constexpr std::int64_t deadline_slack_us = 150 * ms;
constexpr std::int64_t termination_grace_us = 700 * ms;  // after SIGTERM: later requests need no answer

/// What proxies and invokers saw of a request.
struct RequestEvents {
    std::vector<const Event*> received, started;
};

class RequestCheck {
public:
    explicit RequestCheck(const JudgeContext& context)
        : context_(context), history_(context.history), verdict_(context.verdict) {
        for (const Event& event : history_.events) {
            if (event.type == EventType::attempt_received) events_[event.request].received.push_back(&event);
            if (event.type == EventType::run_started) events_[event.request].started.push_back(&event);
        }
    }

    void check(const Request& request) {
        count(request);
        check_answer(request);
        const auto events = events_.find(request.id);
        if (events == events_.end()) return;
        check_effects(request, events->second);
        for (const Event* attempt : events->second.received) check_attempt(request, *attempt);
    }

private:
    static bool is_rejected(const Request& request) { return request.status == 503 || request.status == 429; }

    const ControllerRun& run_of(const Request& request) const {
        return history_.controllers.at(request.controller)[request.controller_run];
    }

    // The time, or the end of the pause of its controller or its client that it falls into or shortly behind.
    std::int64_t after_pauses(const Request& request, std::int64_t time_us) const {
        for (const auto* pauses : {&run_of(request).pauses, &history_.client_pauses})
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
        if (request.answers > 1)
            context_.report(Rule::answered_twice, request.id, fmt::format("{} answers", request.answers));
        if (!request.answer_valid)
            context_.report(Rule::unreadable, request.id, fmt::format("status {}", request.status));
        if (request.abandoned_us != never) return;
        const std::int64_t latest_us =
            after_pauses(request, request.sent_us + request.budget_ms * ms + answer_slack_us);
        if (request.answered_us <= latest_us) return;
        const std::int64_t terminated_us = run_of(request).termination_requested_us;
        const bool sent_to_ending = terminated_us != never && request.sent_us > terminated_us + termination_grace_us;
        if (request.lost_with_process || sent_to_ending)
            ++verdict_.excused;
        else
            report_missing_answer(request);
    }

    void report_missing_answer(const Request& request) {
        if (request.connection_lost_us != never)
            context_.report(Rule::lost, request.id,
                            fmt::format("its connection ended {} ms after it was sent, with {} ms of budget",
                                        (request.connection_lost_us - request.sent_us) / ms, request.budget_ms));
        else if (request.answered_us == never)
            context_.report(Rule::lost, request.id, fmt::format("never answered; budget {} ms", request.budget_ms));
        else
            context_.report(Rule::late, request.id,
                            fmt::format("answered {} ms after it was sent; budget {} ms",
                                        (request.answered_us - request.sent_us) / ms, request.budget_ms));
    }

    void check_effects(const Request& request, const RequestEvents& events) {
        if (request.request_class != RequestClass::ledger) return;
        const std::size_t runs = events.started.size();
        if (runs > 1)
            context_.report(Rule::duplicate, request.id, fmt::format("it may run at most once and ran {} times", runs));
        if (runs > 0 && is_rejected(request))
            context_.report(Rule::rejected_but_ran, request.id, "a rejection states that it had no effect");
    }

    void check_attempt(const Request& request, const Event& attempt) {
        ++verdict_.attempts;
        if (!is_timed_attempt(attempt)) return;
        const std::int64_t late_us = request.abandoned_us == never ? 0 : attempt.time_us - request.abandoned_us;
        if (late_us > abandoned_slack_us + process_slack_us)
            context_.report(Rule::after_client, request.id,
                            fmt::format("an attempt reached invoker {} {} ms after its client abandoned it",
                                        attempt.invoker, late_us / ms));
        const std::int64_t left_us = request.sent_us + request.budget_ms * ms - attempt.time_us;
        if (attempt.value * ms > left_us + deadline_slack_us + process_slack_us)
            context_.report(Rule::deadline, request.id,
                            fmt::format("{} ms passed on where {} were left", attempt.value, left_us / ms));
    }

    const JudgeContext& context_;
    const RunHistory& history_;
    Verdict& verdict_;
    std::map<std::uint64_t, RequestEvents> events_;
};

}  // namespace

void check_requests(const JudgeContext& context) {
    RequestCheck check(context);
    for (const Request& request : context.history.requests) check.check(request);
}

}  // namespace plumkeel::soak
