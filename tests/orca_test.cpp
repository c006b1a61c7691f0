/// Tests the parsing and formatting of ORCA load reports.
#include "orca/orca.hpp"

#include <gtest/gtest.h>

namespace plumkeel {
namespace {

TEST(Orca, ParsesTextAndJson) {
    for (const char* text : {"TEXT cpu_utilization=0.3, named_metrics.inflight=3,named_metrics.queue=1.5",
                             R"(JSON {"cpu_utilization":0.3,"named_metrics":{"inflight":3,"queue":1.5}})"}) {
        const LoadReport report = orca::parse(text);
        EXPECT_EQ(report.in_flight, 3) << text;
        EXPECT_EQ(report.queued, 1.5) << text;
    }
    const LoadReport parsed_report = orca::parse(orca::format({4, 2}));
    EXPECT_EQ(parsed_report.in_flight, 4);
    EXPECT_EQ(parsed_report.queued, 2);
}

TEST(Orca, MalformedReportIsEmpty) {
    for (const char* text : {"", "TEXT", "TEXT ", "TEXT named_metrics.inflight=many", "TEXT named_metrics.inflight=-1",
                             "TEXT named_metrics.inflight=nan", "JSON {", "JSON []", R"(JSON {"named_metrics":3})",
                             R"(JSON {"named_metrics":{"inflight":"3"}})", "BIN AAAA", "inflight=3"})
        EXPECT_FALSE(orca::parse(text).in_flight) << text;
}

}  // namespace
}  // namespace plumkeel
