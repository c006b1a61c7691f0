/// Reports the gateway's state: the status document, one row per invoker for the log, and the gauges of its metrics.
#pragma once

#include <boost/json.hpp>
#include <functional>
#include <optional>
#include <string>

#include "admission/admission.hpp"
#include "gateway/endpoint_registry.hpp"
#include "gateway/invariants.hpp"
#include "gateway/request_accounting.hpp"
#include "gateway/request_table.hpp"
#include "log/log.hpp"
#include "metrics/gateway_metrics.hpp"
#include "net/event_loop.hpp"
#include "trace/recording_scheduler.hpp"

namespace plumkeel::gateway {

/// Returns when discovery last confirmed the list of invokers, on the event loop's clock; absent if it never did.
using ListConfirmedAt = std::function<std::optional<Time>()>;

/// The objects that a gateway's status is read from; all must outlive the reader.
struct StatusSources {
    const net::EventLoop& loop;
    const Log& log;
    const Admission& admission;
    const RequestTable& requests;
    const RequestCounters& counters;
    const EndpointRegistry& endpoints;
    const Invariants& invariants;
    const trace::RecordingScheduler& scheduler;
};

/// Builds the gateway's status without changing anything.
class StatusReader {
public:
    /// `incarnation`: the gateway's name and start time.
    StatusReader(StatusSources sources, std::string incarnation)
        : sources_(sources), incarnation_(std::move(incarnation)) {}

    void set_list_age_source(ListConfirmedAt confirmed_at) { list_confirmed_at_ = std::move(confirmed_at); }
    const std::string& incarnation() const { return incarnation_; }

    /// The document of GET /v1/status. Its names are a stable format, and match the labels of the metrics.
    boost::json::object status() const;
    /// One row per invoker: the scheduler's estimates, and the number of calls and connections.
    boost::json::array estimates() const;
    /// The current values of the gauges, and of counters that other components keep.
    metrics::MetricSnapshot metric_snapshot() const;

private:
    boost::json::object request_counts() const;
    boost::json::object admission_counts() const;
    boost::json::object connection_counts() const;
    boost::json::object endpoint_counts() const;
    boost::json::object invariant_counts() const;
    void add_endpoint_values(metrics::MetricSnapshot& snapshot) const;
    std::optional<double> list_age_s() const;

    const StatusSources sources_;
    const std::string incarnation_;
    ListConfirmedAt list_confirmed_at_;
};

}  // namespace plumkeel::gateway
