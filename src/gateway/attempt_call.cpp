#include "gateway/attempt_call.hpp"

#include <algorithm>
#include <utility>

#include "gateway/endpoint_registry.hpp"
#include "scheduler/retry_policy.hpp"

namespace plumkeel::gateway {

AttemptCall::AttemptCall(CallObserver& observer, net::EventLoop& loop, ActiveRequest& for_request, Attempt& for_attempt)
    : UpstreamCall(Kind::attempt), observer_(observer), loop_(loop), attempt_(for_attempt) {
    request = &for_request;
    attempt = &for_attempt;
}

void AttemptCall::on_ended(CallResult result) {
    observer_.on_attempt_ended(*this, std::move(result));
}

net::Time AttemptCall::send_deadline() const {
    return std::min(deadline, plumkeel::send_deadline(attempt_, observer_.capabilities()));
}

void AttemptCall::on_sent() {
    first_byte_sent_at_ = loop_.now();
    observer_.on_attempt_sent(*this);
}

bool AttemptCall::on_stream_begin(unsigned status, const std::string& forwarded_headers) {
    return observer_.on_response_stream_begin(*this, status, forwarded_headers);
}

void AttemptCall::on_chunk(std::string bytes) {
    if (request->sink) request->sink->write_chunk(*request, std::move(bytes));
}

net::Task<bool> AttemptCall::wait_writable() {
    if (!request->sink) co_return false;
    co_return co_await request->sink->wait_writable();
}

InvokerEndpoint& AttemptCall::endpoint() const {
    return invoker_endpoint(*attempt_.invoker);
}

bool AttemptCall::may_have_run() const {
    if (!first_byte_sent_at_) return false;
    if (attempt_.in_flight) return true;
    switch (attempt_.outcome.value_or(AttemptOutcome::connection_lost)) {
        case AttemptOutcome::rejected:
        case AttemptOutcome::unreachable:
        case AttemptOutcome::never_sent:
        case AttemptOutcome::load_failed:
            return false;
        default:
            return true;
    }
}

PreloadCall::PreloadCall(CallObserver& observer, InvokerEndpoint& endpoint, const PreloadCommand& command)
    : UpstreamCall(command.copies > 0 ? Kind::load_copies : Kind::unload_copies),
      observer_(observer),
      endpoint_(endpoint) {
    function = command.function->name;
    copies = command.copies;
}

net::Time PreloadCall::send_deadline() const {
    return kind == Kind::load_copies && !endpoint_.accepts_attempts() ? net::Time::min() : deadline;
}

}  // namespace plumkeel::gateway
