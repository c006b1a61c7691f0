#include "trace_analysis/pseudonymizer.hpp"

#include <gtest/gtest.h>

#include "tests/trace_analysis_fixtures.hpp"

namespace plumkeel::trace_analysis {
namespace {

TEST(Pseudonymizer, RemovesAllNamesAndGivesEqualNamesEqualTokens) {
    const auto records = simulated_trace(with_candidates());
    const Pseudonymizer pseudonymizer("a key of sixteen bytes or more"), same_key("a key of sixteen bytes or more"),
        other_key("another key, of as many bytes");
    std::vector<Record> pseudonymized;
    for (const Record& each : records)
        if (auto record = pseudonymizer.pseudonymize(each)) pseudonymized.push_back(std::move(*record));
    ASSERT_GT(pseudonymized.size(), records.size() / 2);
    for (const Record& each : pseudonymized)
        for (const char* original_name : {"secret", "toy", "10.9.8", "acme", "umbrella", "preview", "charge"})
            EXPECT_EQ(each.body.find(original_name), std::string::npos) << int(each.type) << " " << original_name;
    EXPECT_EQ(pseudonymizer.token("function", "f"), same_key.token("function", "f"));
    EXPECT_NE(pseudonymizer.token("function", "f"), other_key.token("function", "f"));
    EXPECT_NE(pseudonymizer.token("function", "f").substr(9), pseudonymizer.token("tenant", "f").substr(7));
    EXPECT_THROW(Pseudonymizer("short"), trace::TraceError);
    // Pseudonymization must not change outcomes, and must replace function names by their tokens.
    const auto before = histories_of(records), after = histories_of(pseudonymized);
    ASSERT_EQ(before.size(), after.size());
    for (std::size_t i = 0; i < before.size(); ++i) {
        EXPECT_EQ(before[i].outcome, after[i].outcome);
        EXPECT_EQ(pseudonymizer.token("function", before[i].function), after[i].function);
    }
    // Records of unknown types may contain names, so they must be dropped.
    EXPECT_FALSE(pseudonymizer.pseudonymize({Time{}, 200, 0, "secret"}));
}

}  // namespace
}  // namespace plumkeel::trace_analysis
