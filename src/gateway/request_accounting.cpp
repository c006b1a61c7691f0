#include "gateway/request_accounting.hpp"

#include "trace/names.hpp"

namespace plumkeel::gateway {

using namespace std::chrono_literals;

void RequestAccounting::request_received(bool is_client_retry) {
    ++counters_.received;
    if (metrics_) metrics_->request_received(is_client_retry);
}

void RequestAccounting::health_check_sent() {
    ++counters_.health_checks;
    if (metrics_) metrics_->health_check_sent();
}

void RequestAccounting::preload_sent() {
    ++counters_.preloads;
    if (metrics_) metrics_->preload_sent();
}

void RequestAccounting::attempt_ended(const AttemptCall& call, const CallResult& result, bool late) {
    const Attempt& attempt = *call.attempt;
    if (metrics_)
        metrics_->attempt_ended({result.outcome, result.load_event, attempt.expected_warm, attempt.starts_load,
                                 loop_.now() - attempt.sent_at});
    if (late && result.outcome == AttemptOutcome::succeeded) ++counters_.late_responses;
    if (!log_.is_enabled(Log::Level::debug)) return;
    log_.write(Log::Level::debug, "attempt_ended",
               {{"request", call.request->name},
                {"request_id", call.request->id},
                {"attempt", attempt.number},
                {"invoker", attempt.invoker->name},
                {"sent", call.first_byte_sent_at().has_value()},
                {"outcome", trace::name_of(result.outcome)},
                {"late", late},
                {"load_event", trace::name_of(result.load_event)},
                {"concurrent_requests", result.concurrent_requests},
                {"expected_warm", attempt.expected_warm},
                {"function", call.request->function->name},
                {"estimated_load", attempt.estimated_load},
                {"duration_ms", static_cast<double>((loop_.now() - attempt.sent_at).count()) / 1000}});
}

void RequestAccounting::request_not_served(const ActiveRequest& request) {
    const bool rejected = request.state == RequestState::rejected;
    log_.write(Log::Level::info, rejected ? "request_rejected" : "request_failed",
               {{"request", request.name},
                {"request_id", request.id},
                {"function", request.function->name},
                {"request_class", request_class_name(request)},
                {"attempts", request.attempts.size()},
                {"reason", trace::describe(request.reason)},
                {"is_client_retry", request.is_client_retry},
                {"duration_ms", (loop_.now() - request.received_at) / 1ms}});
}

void RequestAccounting::request_completed(const ActiveRequest& request) {
    if (metrics_) {
        const Time now = loop_.now();
        const Time first_sent_at = request.attempts.empty() ? now : request.attempts.front().sent_at;
        metrics_->request_ended({request_class_name(request), request.tenant_name, request.function->name,
                                 request.state, request.reason, now > request.target_at, now - request.received_at,
                                 first_sent_at - request.received_at, request.attempts.size()});
    }
    count_state(request.state);
    if (!log_.is_enabled(Log::Level::debug)) return;
    log_.write(Log::Level::debug, "request_ended",
               {{"request", request.name},
                {"request_id", request.id},
                {"state", trace::name_of(request.state)},
                {"attempts", request.attempts.size()},
                {"reason", trace::describe(request.reason)},
                {"duration_ms", (loop_.now() - request.received_at) / 1ms}});
}

void RequestAccounting::count_state(RequestState state) {
    switch (state) {
        case RequestState::succeeded:
            ++counters_.succeeded;
            break;
        case RequestState::rejected:
            ++counters_.rejected;
            break;
        case RequestState::failed:
            ++counters_.failed;
            break;
        default:
            ++counters_.cancelled;
    }
}

}  // namespace plumkeel::gateway
