#include "metrics/gateway_metrics.hpp"

#include <prometheus/text_serializer.h>

namespace plumkeel::metrics {

GatewayMetrics::GatewayMetrics(MetricsConfig config, const std::string& controller)
    : config_(config),
      families_(registry_, controller),
      requests_(families_, config_),
      attempts_(families_),
      snapshot_metrics_(families_),
      received_requests_(families_.received_requests.Add({})),
      client_retries_(families_.client_retries.Add({})),
      health_checks_(families_.health_checks.Add({})),
      preloads_(families_.preloads.Add({})) {}

void GatewayMetrics::request_received(bool is_client_retry) {
    received_requests_.Increment();
    if (is_client_retry) client_retries_.Increment();
}

std::string GatewayMetrics::exposition() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace plumkeel::metrics
