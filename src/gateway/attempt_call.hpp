/// The calls that the gateway makes to invokers: attempts of requests, health checks and preloads.
#pragma once

#include <optional>
#include <string>

#include "gateway/request_table.hpp"
#include "gateway/upstream_call.hpp"

namespace plumkeel::gateway {

class AttemptCall;
class PreloadCall;
struct InvokerEndpoint;

/// Receives the events of the calls that it started. Must outlive the connection pools that hold the calls.
class CallObserver {
public:
    virtual const Capabilities& capabilities() const = 0;
    virtual void on_attempt_sent(const AttemptCall& call) = 0;
    /// Returns false if the client no longer wants the response.
    virtual bool on_response_stream_begin(AttemptCall& call, unsigned status, const std::string& forwarded_headers) = 0;
    virtual void on_attempt_ended(AttemptCall& call, CallResult result) = 0;
    virtual void on_health_check_ended(InvokerEndpoint& endpoint, const CallResult& result) = 0;
    virtual void on_preload_ended(const PreloadCall& call, const CallResult& result) = 0;

protected:
    ~CallObserver() = default;
};

/// One attempt of a request. Shared by the request (ActiveRequest::calls) and, until the call has ended, the connection
/// pool. The request outlives the call, because a request is erased only when none of its attempts is in flight.
class AttemptCall : public UpstreamCall {
public:
    AttemptCall(CallObserver& observer, net::EventLoop& loop, ActiveRequest& for_request, Attempt& for_attempt);

    void on_ended(CallResult result) override;
    net::Time send_deadline() const override;
    void on_sent() override;
    bool on_stream_begin(unsigned status, const std::string& forwarded_headers) override;
    void on_chunk(std::string bytes) override;
    net::Task<bool> wait_writable() override;

    /// The attempt as the scheduler's functions expect it: not const.
    Attempt& scheduler_attempt() const { return attempt_; }
    InvokerEndpoint& endpoint() const;
    /// When the first byte of this attempt was sent; absent if none was.
    std::optional<Time> first_byte_sent_at() const { return first_byte_sent_at_; }
    /// Whether the invoker may have run this attempt: it was sent, and its outcome does not prove that it never ran.
    bool may_have_run() const;

    /// Result of this attempt, withheld from the scheduler while another attempt's response streams to the client.
    std::optional<CallResult> held_result;

private:
    CallObserver& observer_;
    net::EventLoop& loop_;
    Attempt& attempt_;
    std::optional<Time> first_byte_sent_at_;
};

/// A health check of one invoker, owned by the connection pool. The endpoint outlives the call, because
/// EndpointRegistry keeps an endpoint until its pool has drained.
class HealthCheckCall : public UpstreamCall {
public:
    HealthCheckCall(CallObserver& observer, InvokerEndpoint& endpoint)
        : UpstreamCall(Kind::health_check), observer_(observer), endpoint_(endpoint) {}
    void on_ended(CallResult result) override { observer_.on_health_check_ended(endpoint_, result); }

private:
    CallObserver& observer_;
    InvokerEndpoint& endpoint_;
};

/// Loads or unloads copies of a function at one invoker; owned by the connection pool. The call refers to the function
/// by name, because the function may be released before the call ends.
class PreloadCall : public UpstreamCall {
public:
    PreloadCall(CallObserver& observer, InvokerEndpoint& endpoint, const PreloadCommand& command);
    /// Loading copies is new work, which an invoker that drains must not be sent.
    net::Time send_deadline() const override;
    void on_ended(CallResult result) override { observer_.on_preload_ended(*this, result); }

    InvokerEndpoint& endpoint() const { return endpoint_; }

private:
    CallObserver& observer_;
    InvokerEndpoint& endpoint_;
};

}  // namespace plumkeel::gateway
