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

/// Who started a call and learns what becomes of it. Must outlive the calls' connection pools.
class CallObserver {
public:
    virtual void on_attempt_sent(const AttemptCall& call) = 0;
    /// False: nobody wants the response.
    virtual bool on_response_stream_begin(AttemptCall& call, unsigned status, const std::string& forwarded_headers) = 0;
    virtual void on_attempt_ended(AttemptCall& call, CallResult result) = 0;
    virtual void on_health_check_ended(InvokerEndpoint& endpoint, const CallResult& result) = 0;
    virtual void on_preload_ended(const PreloadCall& call, const CallResult& result) = 0;

protected:
    ~CallObserver() = default;
};

/// One attempt of a request. Owned by its request (ActiveRequest::calls), and by the connection pool until it has
/// ended. The request outlives it: it is erased only when no attempt is in flight.
class AttemptCall : public UpstreamCall {
public:
    AttemptCall(CallObserver& observer, net::EventLoop& loop, ActiveRequest& for_request, Attempt& for_attempt);

    void on_ended(CallResult result) override;
    void on_sent() override;
    bool on_stream_begin(unsigned status, const std::string& forwarded_headers) override;
    void on_chunk(std::string bytes) override;
    net::Task<bool> wait_writable() override;

    /// As the scheduler must be given it.
    Attempt& scheduler_attempt() const { return attempt_; }
    InvokerEndpoint& endpoint() const;
    /// When its first byte was sent, if any was.
    std::optional<Time> first_byte_sent_at() const { return first_byte_sent_at_; }
    /// Whether it has taken effect for all that is known: it was sent, and nothing proves that it never ran.
    bool may_have_run() const;

    /// Its end, kept from the scheduler while the response of another attempt streams to the client.
    std::optional<CallResult> held_result;

private:
    CallObserver& observer_;
    net::EventLoop& loop_;
    Attempt& attempt_;
    std::optional<Time> first_byte_sent_at_;
};

/// Owned by the connection pool alone. Its endpoint outlives it: EndpointRegistry waits for the pool to drain.
class HealthCheckCall : public UpstreamCall {
public:
    HealthCheckCall(CallObserver& observer, InvokerEndpoint& endpoint)
        : UpstreamCall(Kind::health_check), observer_(observer), endpoint_(endpoint) {}
    void on_ended(CallResult result) override { observer_.on_health_check_ended(endpoint_, result); }

private:
    CallObserver& observer_;
    InvokerEndpoint& endpoint_;
};

/// Loads or unloads copies of a function. Owned by the connection pool alone, as a HealthCheckCall is; its function may
/// be released before it ends.
class PreloadCall : public UpstreamCall {
public:
    PreloadCall(CallObserver& observer, InvokerEndpoint& endpoint, const PreloadCommand& command);
    void on_ended(CallResult result) override { observer_.on_preload_ended(*this, result); }

    InvokerEndpoint& endpoint() const { return endpoint_; }

private:
    CallObserver& observer_;
    InvokerEndpoint& endpoint_;
};

}  // namespace plumkeel::gateway
