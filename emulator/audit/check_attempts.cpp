#include <fmt/format.h>

#include <algorithm>

#include "emulator/audit/audit_context.hpp"
#include "emulator/record_schema.hpp"

namespace plumkeel::emulator {
namespace {

class AttemptCheck {
public:
    AttemptCheck(const AuditContext& context, const std::string& request_key, const RecordedRequest& request)
        : context_(context),
          rules_(context.rules),
          request_key_(request_key),
          request_(request),
          request_class_(context.rules.request_class(request.request_class)) {}

    void check() const {
        if (static_cast<int>(request_.attempts.size()) > rules_.max_attempts)
            context_.report(Rule::attempt_limits, request_key_, request_.attempts.back().received_us,
                            fmt::format("{} attempts, more than the deployment allows", request_.attempts.size()));
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
        // The slack allows for the time until the invoker notices that the controller closed the connection.
        const bool had_ended = earlier.ended_us && earlier.ended_us <= later.received_us + rules_.slack_us;
        if (!rules_.hedging && !had_ended)
            context_.report(Rule::attempt_limits, request_key_, later.received_us,
                            fmt::format("without hedging, attempt {} reached {} while attempt {} at {} was in flight",
                                        later.number, later.invoker, earlier.number, earlier.invoker));
        if (earlier.is_known_not_run() && had_ended) return;
        if (request_class_.idempotency == Idempotency::at_most_once)
            report_duplicate_effect(
                later, fmt::format("at-most-once attempt {} at {} though attempt {} at {} may have run", later.number,
                                   later.invoker, earlier.number, earlier.invoker));
        if (request_class_.idempotency == Idempotency::deduplicated) check_deduplicated(earlier, later);
    }

    void check_deduplicated(const RecordedAttempt& earlier, const RecordedAttempt& later) const {
        if (later.received_us > earlier.received_us + request_class_.deduplication_window_us + rules_.slack_us)
            report_duplicate_effect(later, "a deduplicated attempt arrived after its idempotency key had expired");
        if (rules_.in_different_scopes(earlier.invoker, later.invoker, request_class_.scope))
            report_duplicate_effect(
                later, fmt::format("deduplicated attempt {} was sent outside the deduplication scope of {}",
                                   later.number, earlier.invoker));
    }

    // After a rejection the client may send the request again, so no attempt may have run unless a second run would be
    // deduplicated.
    void check_rejection() const {
        if (request_class_.idempotency == Idempotency::idempotent || !request_.answer) return;
        if (request_.answer->text(key::outcome) != client_outcome::rejected) return;
        const std::int64_t rejected_us = request_.answer->time_us;
        for (const RecordedAttempt& attempt : request_.attempts) {
            if (attempt.is_known_not_run() || rejected_us < attempt.received_us) continue;
            const bool is_deduplicated =
                request_class_.idempotency == Idempotency::deduplicated &&
                request_class_.scope == DeduplicationScope::global &&
                rejected_us < attempt.received_us + request_class_.deduplication_window_us + rules_.slack_us;
            if (!is_deduplicated)
                context_.report(Rule::no_duplicate_effect, request_key_, rejected_us,
                                fmt::format("the request was rejected though attempt {} at {} may have run",
                                            attempt.number, attempt.invoker));
        }
    }

    void report_duplicate_effect(const RecordedAttempt& attempt, std::string description) const {
        context_.report(Rule::no_duplicate_effect, request_key_, attempt.received_us, std::move(description));
    }

    const AuditContext& context_;
    const DeploymentRules& rules_;
    const std::string& request_key_;
    const RecordedRequest& request_;
    const DeploymentRules::RequestClass request_class_;
};

}  // namespace

void check_attempts(const AuditContext& context) {
    for (const auto& [request_key, request] : context.records.requests()) {
        context.verdict.attempts += request.attempts.size();
        AttemptCheck(context, request_key, request).check();
    }
}

}  // namespace plumkeel::emulator
