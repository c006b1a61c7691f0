/// Tests the conversion of Prometheus metrics to samples.
#include "remote_write/sample.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace plumkeel::remote_write {
namespace {

TEST(Samples, HistogramBecomesBucketsSumAndCount) {
    prometheus::MetricFamily family;
    family.name = "h";
    family.type = prometheus::MetricType::Histogram;
    family.metric.resize(1);
    family.metric[0].label = {{"zone", "a"}, {"empty", ""}};
    family.metric[0].histogram = {3, 4.5, {{2, 0.5}, {3, std::numeric_limits<double>::infinity()}}};
    const auto samples = to_samples({family});
    ASSERT_EQ(samples.size(), 4u);
    EXPECT_EQ(samples[0].labels, (Labels{{"__name__", "h_bucket"}, {"le", "0.5"}, {"zone", "a"}}));
    EXPECT_EQ(samples[1].labels[1].second, "+Inf");
    EXPECT_EQ(samples[2].labels[0].second, "h_sum");
    EXPECT_EQ(samples[3].value, 3);
}

}  // namespace
}  // namespace plumkeel::remote_write
