#include <fmt/format.h>

#include <algorithm>

#include "emulator/audit/audit_context.hpp"
#include "emulator/record_schema.hpp"

namespace plumkeel::emulator {
namespace {

class AttemptCheck {
public:
    AttemptCheck(const AuditContext& context, const std::string& name, const RecordedRequest& request)
        : context_(context),
          rules_(context.rules),
          name_(name),
          request_(request),
          class_(context.rules.request_class(request.request_class)) {}

    void check() const {
        if (static_cast<int>(request_.attempts.size()) > rules_.max_attempts)
            context_.report(Rule::attempt_limits, name_, request_.attempts.back().received_us,
                            fmt::format("{} attempts", request_.attempts.size()));
        std::vector<const RecordedAttempt*> by_number;
        for (const RecordedAttempt& attempt : request_.attempts) by_number.push_back(&attempt);
        std::sort(by_number.begin(), by_number.end(),
                  [](const RecordedAttempt* a, const RecordedAttempt* b) { return a->number < b->number; });
        for (std::size_t later = 1; later < by_number.size(); ++later)
            for (std::size_t earlier = 0; earlier < later; ++earlier)
                check_pair(*by_number[earlier], *by_number[later]);
        check_rejection();
    }

private:
    void check_pair(const RecordedAttempt& earlier, const RecordedAttempt& later) const {
        // An invoker sees a little later that the controller closed the connection.
        const bool was_over = earlier.ended_us && earlier.ended_us <= later.received_us + rules_.slack_us;
        if (!rules_.hedging && !was_over)
            context_.report(Rule::attempt_limits, name_, later.received_us,
                            fmt::format("attempt {} was in flight at {} beside attempt {} at {}", later.number,
                                        later.invoker, earlier.number, earlier.invoker));
        if (earlier.is_known_not_run() && was_over) return;
        if (class_.idempotency == Idempotency::at_most_once)
            report_effect(later, fmt::format("at-most-once attempt {} at {} though attempt {} at {} may have run",
                                             later.number, later.invoker, earlier.number, earlier.invoker));
        if (class_.idempotency == Idempotency::deduplicated) check_deduplicated(earlier, later);
    }

    void check_deduplicated(const RecordedAttempt& earlier, const RecordedAttempt& later) const {
        if (later.received_us > earlier.received_us + class_.deduplication_window_us + rules_.slack_us)
            report_effect(later, "a deduplicated attempt after its key had expired");
        if (rules_.in_different_scopes(earlier.invoker, later.invoker, class_.scope))
            report_effect(later,
                          fmt::format("deduplicated attempt {} left the scope of {}", later.number, earlier.invoker));
    }

    // A rejection tells the client that another try has no effect twice.
    void check_rejection() const {
        if (class_.idempotency == Idempotency::idempotent || !request_.answer) return;
        if (request_.answer->text(key::outcome) != client_outcome::rejected) return;
        const std::int64_t rejected_us = request_.answer->time_us;
        for (const RecordedAttempt& attempt : request_.attempts) {
            if (attempt.is_known_not_run() || rejected_us < attempt.received_us) continue;
            const bool is_deduplicated =
                class_.idempotency == Idempotency::deduplicated && class_.scope == DeduplicationScope::global &&
                rejected_us < attempt.received_us + class_.deduplication_window_us + rules_.slack_us;
            if (!is_deduplicated)
                context_.report(
                    Rule::no_duplicate_effect, name_, rejected_us,
                    fmt::format("rejected though attempt {} at {} may have run", attempt.number, attempt.invoker));
        }
    }

    void report_effect(const RecordedAttempt& attempt, std::string description) const {
        context_.report(Rule::no_duplicate_effect, name_, attempt.received_us, std::move(description));
    }

    const AuditContext& context_;
    const DeploymentRules& rules_;
    const std::string& name_;
    const RecordedRequest& request_;
    const DeploymentRules::RequestClass class_;
};

}  // namespace

void check_attempts(const AuditContext& context) {
    for (const auto& [name, request] : context.records.requests()) {
        context.verdict.attempts += request.attempts.size();
        AttemptCheck(context, name, request).check();
    }
}

}  // namespace plumkeel::emulator
