#include "trace_analysis/pseudonymizer.hpp"

#include <gtest/gtest.h>

#include "tests/trace_analysis_fixtures.hpp"

namespace plumkeel::trace_analysis {
namespace {

TEST(Pseudonymizer, LeavesNoNameAndGivesEqualNamesEqualTokens) {
    const auto records = simulated_trace(with_candidates());
    const Pseudonymizer one("a key of sixteen bytes or more"), same("a key of sixteen bytes or more"),
        other("another key, of as many bytes");
    std::vector<Record> pseudonymized;
    for (const Record& each : records)
        if (auto out = one.pseudonymize(each)) pseudonymized.push_back(std::move(*out));
    ASSERT_GT(pseudonymized.size(), records.size() / 2);
    for (const Record& each : pseudonymized)
        for (const char* part : {"secret", "toy", "10.9.8", "acme", "umbrella", "preview", "charge"})
            EXPECT_EQ(each.body.find(part), std::string::npos) << int(each.type) << " " << part;
    EXPECT_EQ(one.token("function", "f"), same.token("function", "f"));
    EXPECT_NE(one.token("function", "f"), other.token("function", "f"));
    EXPECT_NE(one.token("function", "f").substr(9), one.token("tenant", "f").substr(7));
    EXPECT_THROW(Pseudonymizer("short"), trace::TraceError);
    // The histories stay the same.
    const auto before = histories_of(records), after = histories_of(pseudonymized);
    ASSERT_EQ(before.size(), after.size());
    for (std::size_t i = 0; i < before.size(); ++i) {
        EXPECT_EQ(before[i].outcome, after[i].outcome);
        EXPECT_EQ(one.token("function", before[i].function), after[i].function);
    }
    // A type that this build does not know may hold anything.
    EXPECT_FALSE(one.pseudonymize({Time{}, 200, 0, "secret"}));
}

}  // namespace
}  // namespace plumkeel::trace_analysis
