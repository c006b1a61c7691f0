/// What the gateway shows of its state: the status document, a row for each invoker, and the levels of its metrics.
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

/// When the list of invokers was last confirmed by its source, on the event loop's clock; absent: never.
using ListConfirmedAt = std::function<std::optional<Time>()>;

/// The parts of a gateway that its status is read from; all outlive the reader.
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

/// Reads and changes nothing.
class StatusReader {
public:
    /// `incarnation`: the gateway's name and start.
    StatusReader(StatusSources sources, std::string incarnation)
        : sources_(sources), incarnation_(std::move(incarnation)) {}

    void set_list_age_source(ListConfirmedAt confirmed_at) { list_confirmed_at_ = std::move(confirmed_at); }
    const std::string& incarnation() const { return incarnation_; }

    /// The document of GET /v1/status, whose words are a stable format; they are those of the metrics' labels.
    boost::json::object status() const;
    /// For each invoker what the scheduler estimates, beside what is on the connections.
    boost::json::array estimates() const;
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
