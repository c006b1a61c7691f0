#include <gtest/gtest.h>

#include "tests/simulated_trace.hpp"
#include "trace/records.hpp"

namespace plumkeel::trace {
namespace {

TEST(TraceRecords, BodiesThatAreTooShortOrTooLongAreRefused) {
    SimulatedTraceOptions options;
    options.candidates = true;
    for (const Record& record : simulated_trace(options)) {
        if (record.type != transition && record.type != actions && record.type != endpoints_changed) continue;
        for (std::size_t n = 0; n < record.body.size(); ++n) {
            const std::string part = record.body.substr(0, n);
            if (record.type == transition) {
                EXPECT_THROW(unpack<TransitionRecord>(part), TraceError);
            }
            if (record.type == actions) {
                EXPECT_THROW(unpack<ActionsRecord>(part), TraceError);
            }
            if (record.type == endpoints_changed) {
                EXPECT_THROW(unpack<EndpointsChanged>(part), TraceError);
            }
        }
    }
    EXPECT_THROW(unpack<NameRecord>(pack(NameRecord{1, "a"}) + "x"), TraceError);
    // A count that claims far more than the body holds.
    EXPECT_THROW(unpack<ActionsRecord>("\xff\xff\xff\xff\xff\xff\xff\xff\x7f"), TraceError);
}

}  // namespace
}  // namespace plumkeel::trace
