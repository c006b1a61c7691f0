/// The connections to one invoker of the platform: many calls on each, responses in any order. An attempt is cancelled
/// by a STOP line, and its connection stays open. An invoker runs an attempt only once it has received all of it, so
/// one that was not written completely when its connection ended never ran.
///
/// Malformed bytes end their connection at once, with all calls on it, each with the outcome that can be proven. So
/// does a probe during whose whole time nothing was received on its connection.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "gateway/queueing_pool.hpp"
#include "invoker_protocol/connection_budget.hpp"

namespace plumkeel::invoker_protocol {

using gateway::UpstreamCall;

/// What invokers report, by the settings.
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

    // What choose() found among the connections.
    struct Choice {
        ConnectionPtr best;
        ConnectionPtr carried_before;  // has carried an attempt of the same request, which must not run twice
        std::size_t accepting{};       // connections that accept calls
    };

    bool dispatch(const Call& call) override;
    void collect_unsent(std::vector<Call>& unsent) const override;
    void on_waiting() override { budget_.wait(*this); }
    delivery::Progress remove(UpstreamCall& call, delivery::StopCause cause) override;
    ConnectionPtr choose(const UpstreamCall& call);
    static void consider_for_probe(const ConnectionPtr& connection, Choice& choice);
    void consider_for_attempt(const ConnectionPtr& connection, const UpstreamCall& call, Choice& choice) const;
    bool may_open(std::size_t accepting);
    std::string wire_id(const UpstreamCall& call);
    void on_connection_free() { dispatch_queued(); }
    void connection_closed(const ConnectionPtr& connection);

    const ResponseOptions& options_;
    ConnectionBudget& budget_;
    std::vector<ConnectionPtr> connections_;
    std::uint64_t probe_ids_{};
};

}  // namespace plumkeel::invoker_protocol
