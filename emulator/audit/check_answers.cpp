#include <fmt/format.h>

#include "emulator/audit/audit_context.hpp"
#include "emulator/record_schema.hpp"

namespace plumkeel::emulator {
namespace {

/// One sending of a request by a client, and the answers to it. A client may send a request again.
struct ClientTry {
    const RecordedEvent* sent{};
    std::vector<const RecordedEvent*> answers;
};

std::map<std::pair<std::string, std::int64_t>, ClientTry> collect_tries(const RecordIndex& records) {
    std::map<std::pair<std::string, std::int64_t>, ClientTry> tries;  // key: client process and id
    for (const RecordedEvent& event : records.events()) {
        if (event.source != source::client || !event.has(key::id)) continue;
        ClientTry& client_try = tries[{event.process, event.integer(key::id)}];
        if (event.name == event::sent) client_try.sent = &event;
        if (event.name == event::answer) client_try.answers.push_back(&event);
    }
    return tries;
}

class AnswerCheck {
public:
    explicit AnswerCheck(const AuditContext& context) : context_(context), verdict_(context.verdict) {}

    void check_try(const ClientTry& client_try) {
        if (!client_try.sent) return;
        const RecordedEvent& sent = *client_try.sent;
        ++verdict_.requests;
        const std::string request = sent.text(key::origin) + " try " + std::to_string(sent.integer(key::try_number));
        if (client_try.answers.empty())
            return report(request, sent.time_us, "no answer and no other outcome was recorded");
        if (client_try.answers.size() > 1)
            report(request, client_try.answers[1]->time_us, "the request was answered twice");
        check_answer(request, sent, *client_try.answers.front());
    }

    // Reports attempts that an invoker received after the client had the final answer, except those that were sent
    // before the answer and arrived late.
    void check_attempts_after_answer(const std::string& request_key, const RecordedRequest& request) {
        if (!request.answer) return;
        for (const RecordedAttempt& attempt : request.attempts) {
            const std::int64_t slack_us =
                context_.rules.slack_us +
                context_.records.longest_lag_us(source::invoker, attempt.invoker, attempt.received_us);
            if (attempt.received_us > request.answer->time_us + slack_us &&
                attempt.number >= request.answer->integer(key::attempts))
                report(request_key, attempt.received_us,
                       fmt::format("attempt {} reached {} after the final answer", attempt.number, attempt.invoker));
        }
    }

private:
    void check_answer(const std::string& request, const RecordedEvent& sent, const RecordedEvent& answer) {
        const std::string controller = sent.text(key::to);
        const std::int64_t deadline_us = sent.time_us + sent.integer(key::remaining_us);
        const std::int64_t freeze_us = context_.records.remaining_freeze_us(controller, deadline_us);
        const bool was_killed = context_.records.was_controller_killed(controller, sent.time_us, answer.time_us);
        const bool is_final = count_outcome(sent, answer);
        if (!is_final && !needs_no_answer(answer.text(key::outcome))) {
            if (was_killed || freeze_us > 0)
                ++verdict_.lost_with_controller;
            else
                report(request, answer.time_us,
                       "the outcome was '" + answer.text(key::outcome) +
                           "' though the controller was neither killed nor frozen");
        }
        const std::int64_t slack_us = context_.rules.slack_us +
                                      context_.records.longest_lag_us(source::client, answer.process, answer.time_us) +
                                      freeze_us;
        if (is_final && answer.time_us > deadline_us + slack_us && !was_killed)
            report(request, answer.time_us,
                   fmt::format("answered {} ms after its deadline", (answer.time_us - deadline_us) / 1000));
    }

    // Counts the outcome. Returns whether it is a final answer of the controller.
    bool count_outcome(const RecordedEvent& sent, const RecordedEvent& answer) {
        const std::string outcome = answer.text(key::outcome);
        if (outcome == client_outcome::succeeded) {
            ++verdict_.succeeded;
            if (answer.time_us > sent.time_us + sent.integer(key::latency_target_us)) ++verdict_.late;
            return true;
        }
        verdict_.rejected += outcome == client_outcome::rejected;
        verdict_.failed += outcome == client_outcome::failed;
        verdict_.abandoned += outcome == client_outcome::abandoned;
        verdict_.not_accepted += outcome == client_outcome::unreachable || outcome == client_outcome::malformed;
        return outcome == client_outcome::rejected || outcome == client_outcome::failed;
    }

    // Returns whether a request with this outcome needs no final answer from the controller.
    static bool needs_no_answer(std::string_view outcome) {
        return outcome == client_outcome::abandoned || outcome == client_outcome::unreachable ||
               outcome == client_outcome::malformed;
    }

    void report(const std::string& request, std::int64_t time_us, std::string description) {
        context_.report(Rule::every_request_answered, request, time_us, std::move(description));
    }

    const AuditContext& context_;
    Verdict& verdict_;
};

}  // namespace

void check_answers(const AuditContext& context) {
    AnswerCheck check(context);
    for (const auto& [id, client_try] : collect_tries(context.records)) check.check_try(client_try);
    for (const auto& [request_key, request] : context.records.requests())
        check.check_attempts_after_answer(request_key, request);
}

}  // namespace plumkeel::emulator
