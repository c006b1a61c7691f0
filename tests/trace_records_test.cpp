#include <gtest/gtest.h>

#include "tests/simulated_trace.hpp"
#include "trace/records.hpp"

namespace plumkeel::trace {
namespace {

TEST(TraceRecords, BodiesThatAreTooShortOrTooLongAreRejected) {
    SimulatedTraceOptions options;
    options.candidates = true;
    for (const Record& record : simulated_trace(options)) {
        if (record.type != transition && record.type != actions && record.type != endpoints_changed) continue;
        for (std::size_t length = 0; length < record.body.size(); ++length) {
            const std::string truncated_body = record.body.substr(0, length);
            if (record.type == transition) {
                EXPECT_THROW(unpack<TransitionRecord>(truncated_body), TraceError);
            }
            if (record.type == actions) {
                EXPECT_THROW(unpack<ActionsRecord>(truncated_body), TraceError);
            }
            if (record.type == endpoints_changed) {
                EXPECT_THROW(unpack<EndpointsChanged>(truncated_body), TraceError);
            }
        }
    }
    EXPECT_THROW(unpack<NameRecord>(pack(NameRecord{1, "a"}) + "x"), TraceError);
    // A list count far larger than the body must not cause a large allocation.
    EXPECT_THROW(unpack<ActionsRecord>("\xff\xff\xff\xff\xff\xff\xff\xff\x7f"), TraceError);
}

}  // namespace
}  // namespace plumkeel::trace
