// Hosts the decision module on sockets: feeds one Controller what happens and carries out what it decides. One
// process, one Controller, one thread. Nothing is decided here that the module, the door or the follower decide.
#pragma once

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

#include "admission/admission.hpp"
#include "config/gateway_config.hpp"
#include "gateway/edges.hpp"
#include "gateway/endpoint.hpp"
#include "gateway/invariants.hpp"
#include "gateway/start_clock.hpp"
#include "log/log.hpp"
#include "metrics/gateway_metrics.hpp"
#include "net/event_loop.hpp"
#include "scheduler/scheduler.hpp"
#include "trace/recording_scheduler.hpp"

namespace plumkeel::gateway {

class AttemptCall;

// What a client asked for, as the door has checked it.
struct IncomingRequest {
    const NamedRequestClass* request_class{};
    std::string name;          // the job's, with its client; empty where the protocol has none
    std::uint64_t sink_key{};  // by which its visit knows it
    std::string function, tenant, idempotency_key, forwarded_headers;  // `passed`: the fields that go on to the invoker
    Time remaining{};                                                  // when it came
    Time waited{};                                                     // since then, unread
    std::optional<Time> read_at;
    int concurrency = 1;
    std::optional<int> memory;
    std::optional<Time> declared_load_time;
    bool is_client_retry{};
    std::string body;
    std::size_t held_bytes{};  // bytes of it counted at the door; they are the job's from now on
};

// A job as the gateway holds it: the module's part and what is needed to send it and to answer.
struct ActiveRequest : Request {
    std::shared_ptr<ResponseSink> sink;                    // until the answer has begun, or the client has left
    std::string name, idempotency_key, forwarded_headers;  // as wanted, as are the next
    std::uint64_t sink_key{};
    int concurrency{};
    std::optional<int> memory;
    std::string encoded_suffix;  // kept by the invokers' edge: what its hops have in common
    std::shared_ptr<const std::string> body;
    std::size_t held_bytes{};      // bytes counted at the door
    std::string_view tenant_name;  // empty: none that the settings name
    std::vector<std::shared_ptr<AttemptCall>> calls;
    const AttemptCall* streaming_call{};  // whose answer is being passed on
};

struct InvokerEndpoint : Invoker {
    std::unique_ptr<ConnectionPool> pool;
    std::optional<Time> draining_since;
    std::optional<Time> announced_start;  // since the Unix epoch, as the list told it: by this a restart is known
};

struct RequestCounters {
    std::uint64_t received{}, succeeded{}, rejected{}, failed{}, cancelled{}, streamed{}, attempts{}, late{},
        health_checks{}, preloads{};
};

class Gateway {
public:
    // `recorded` is told every call into the module and its answer, for traces.
    Gateway(net::EventLoop& loop, GatewayConfig config, Log& log, std::uint64_t seed, PoolFactory pool_for,
            trace::RecordCallback recorded = {});
    ~Gateway();

    void start();
    // Takes no more jobs; calls `then` once every open one has its answer.
    void shut_down(std::function<void()> then);

    // For the clients' edge. Null: the job is answered already.
    ActiveRequest* submit(IncomingRequest wanted, std::shared_ptr<ResponseSink> sink);
    void client_disconnected(ActiveRequest& request);
    // How long what an edge reads now may have stood in its socket at the most: above 0 after a pause of the process.
    // `late`: what its read was told of that.
    Time waited_unread(Time late = {}) const;
    // For the edge that follows the list; with `complete`, all others are gone.
    void update_endpoints(const std::vector<gateway::Endpoint>& changed, bool complete);
    void remove_endpoints(const std::vector<std::string>& names);
    void set_list_age_source(std::function<std::optional<Time>()> told) { list_confirmed_at_ = std::move(told); }

    net::EventLoop& loop() { return loop_; }
    const GatewayConfig& config() const { return config_; }
    Admission& admission() { return admission_; }
    Log& log() { return log_; }
    const std::string& incarnation() const { return incarnation_; }
    void on_malformed_response(decltype(ConnectionCounts::on_malformed) tell) {
        connection_counts_.on_malformed = std::move(tell);
    }
    Invariants& invariants() { return invariants_; }
    boost::json::object status() const;
    // For each invoker what the module believes, beside what is on the connections.
    boost::json::array estimates() const;
    // Null where the settings want no measurements. Levels are those of the last look.
    metrics::GatewayMetrics* metrics() { return metrics_.get(); }
    // What others count, told with each look.
    void set_extra_levels(std::function<void(metrics::Levels&)> also) { extra_levels_ = std::move(also); }

private:
    friend class AttemptCall;
    friend class HealthCheckCall;
    friend class PreloadCall;

    void attempt_ended(AttemptCall& call, CallResult outcome);
    bool stream_begins(AttemptCall& call, unsigned status, const std::string& passed);
    std::optional<Time> list_confirmed_at() const { return list_confirmed_at_ ? list_confirmed_at_() : std::nullopt; }

    void check_clocks();
    void check_stall();
    void cancel_unsent(InvokerEndpoint& post);
    void remove_endpoint(InvokerEndpoint& post);
    void close_when_drained(std::shared_ptr<InvokerEndpoint> post);
    void apply(const Actions& results);
    void send_attempt(Attempt& attempt);
    void check_sent(const AttemptCall& call);
    void check_answer(const ActiveRequest& request);
    void send_health_check(InvokerEndpoint& post);
    void send_preload(const PreloadCommand& order);
    void answer(ActiveRequest& request);
    void count(const ActiveRequest& request);
    void deliver_held_results(ActiveRequest& request);
    void erase_if_settled(ActiveRequest& request);
    void check_drained();
    void collect_metrics();
    metrics::Levels levels() const;
    void dispatch(std::shared_ptr<UpstreamCall> call, InvokerEndpoint& post, Time within);
    // Every call into the module goes through here.
    template <class Call>
    void call_scheduler(Call call);

    net::EventLoop& loop_;
    const GatewayConfig config_;
    Log& log_;
    const PoolFactory pool_for_;
    Admission admission_;
    std::string incarnation_;  // name and start, told with each hop
    std::map<std::string, Tenant> tenants_;
    std::map<std::string, InvokerType> invoker_types_;
    std::unordered_map<std::uint64_t, std::unique_ptr<ActiveRequest>> requests_;
    std::unordered_map<std::string, std::unique_ptr<Function>> functions_;
    std::map<std::string, std::unique_ptr<InvokerEndpoint>> endpoints_;
    ConnectionCounts connection_counts_;
    RequestCounters counters_;
    StartClock start_clock_;
    trace::RecordingScheduler scheduler_;
    Invariants invariants_;
    std::function<std::optional<Time>()> list_confirmed_at_;
    std::unique_ptr<metrics::GatewayMetrics> metrics_;
    std::function<void(metrics::Levels&)> extra_levels_;
    net::EventLoop::TimerKey metrics_timer_{}, stall_timer_{};
    Time metrics_due_at_{};
    std::uint64_t metrics_rounds_{};
    std::uint64_t ids_{};
    net::EventLoop::TimerKey wake_{};
    Time wake_at_ = Time::max();
    bool in_call_{};
    Time last_call_at_{};  // when the module was called last: what it decided is counted from then
    std::function<void()> on_drained_;
};

}  // namespace plumkeel::gateway
