/// Tests that alert rules are parsed and evaluated.
#include "emulator/promql/alert_rules.hpp"

#include <gtest/gtest.h>

#include "tests/promql_fixture.hpp"

namespace plumkeel::promql {
namespace {

constexpr const char* rule_file_text = R"(
groups:
- name: g
  interval: 10s
  rules:
  - alert: High
    expr: g > 5
    for: 20s
    labels: {severity: page}
)";

TEST(AlertRules, AlertIsPendingThenFiringThenResolved) {
    Database database;
    database.add(make_series({{"__name__", "g"}, {"n", "1"}}, {1, 9, 9, 9, 9, 1, 9, 1, 9, 9}));
    const auto transitions = evaluate_rules(read_rules(rule_file_text), database);
    std::string transition_sequence;
    for (const AlertTransition& transition : transitions)
        transition_sequence += std::to_string(transition.ms / 1000) + (transition.state == AlertState::pending  ? "p "
                                                                       : transition.state == AlertState::firing ? "f "
                                                                                                                : "r ");
    // Each entry is a time in seconds and a state: p for pending, f for firing, r for resolved. From 60 s and from 80
    // s, the alert is active for less than 20 s, so it doesn't fire.
    EXPECT_EQ(transition_sequence, "10p 30f 50r 60p 80p ");
}

TEST(AlertRules, ErrorsContainRuleName) {
    try {
        read_rules("groups: [{name: g, rules: [{alert: Broken, expr: 'sum('}]}]");
        FAIL();
    } catch (const Error& error) {
        EXPECT_EQ(std::string(error.what()).substr(0, 8), "Broken: ");
    }
    EXPECT_THROW(read_rules("nothing"), Error);
}

}  // namespace
}  // namespace plumkeel::promql
