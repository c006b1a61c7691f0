/// The connections to one invoker over the invoker protocol: many calls on each, responses in any order. A STOP line
/// cancels an attempt without closing its connection. An invoker runs an attempt only after receiving all of it, so an
/// attempt that was written only in part never ran.
///
/// Malformed input closes its connection and ends all calls on it. So does the timeout of a probe if nothing was
/// received on its connection since the probe was sent.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "gateway/queueing_pool.hpp"
#include "invoker_protocol/connection_budget.hpp"

namespace plumkeel::invoker_protocol {

using gateway::UpstreamCall;

/// Which load figures the settings say that invokers report.
struct ResponseOptions {
    std::vector<std::string> report_fields;  // empty: probes ask for no report
    bool reports_concurrency{};
};

class ConnectionPool : public gateway::QueueingPool {
public:
    ConnectionPool(net::EventLoop& loop, const PoolConfig& config, const ResponseOptions& options, net::Address address,
                   gateway::ConnectionCounts& counts, ConnectionBudget& budget);
    ~ConnectionPool() override;

    void set_address(net::Address address) override;
    void close() override;
    std::size_t connection_count() const override { return connections_.size(); }
    std::size_t in_flight_count() const override;

private:
    friend class InvokerConnection;
    friend class ConnectionBudget;
    using ConnectionPtr = std::shared_ptr<InvokerConnection>;

    // Intermediate result of choose_connection().
    struct Choice {
        ConnectionPtr best;
        ConnectionPtr carried_before;  // carried an earlier attempt of the same non-idempotent request
        std::size_t accepting{};       // number of connections that accept calls
    };

    bool dispatch(const Call& call) override;
    void collect_unsent(std::vector<Call>& unsent) const override;
    void on_waiting() override { budget_.add_waiting_pool(*this); }
    delivery::Progress remove(UpstreamCall& call, delivery::StopCause cause) override;
    ConnectionPtr choose_connection(const UpstreamCall& call);
    static void consider_for_probe(const ConnectionPtr& connection, Choice& choice);
    void consider_for_attempt(const ConnectionPtr& connection, const UpstreamCall& call, Choice& choice) const;
    bool may_open(std::size_t accepting);
    std::string wire_id(const UpstreamCall& call);
    void on_connection_free() { dispatch_queued(); }
    void connection_closed(const ConnectionPtr& connection);

    const ResponseOptions& options_;
    ConnectionBudget& budget_;
    std::vector<ConnectionPtr> connections_;
    std::uint64_t last_probe_id_{};
};

}  // namespace plumkeel::invoker_protocol
