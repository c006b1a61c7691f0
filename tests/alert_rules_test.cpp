/// Reading and evaluation of alert rules.
#include "emulator/promql/alert_rules.hpp"

#include <gtest/gtest.h>

#include "tests/promql_fixture.hpp"

namespace plumkeel::promql {
namespace {

constexpr const char* rules = R"(
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
    Database data;
    data.add(series({{"__name__", "g"}, {"n", "1"}}, {1, 9, 9, 9, 9, 1, 9, 1, 9, 9}));
    const auto transitions = evaluate_rules(read_rules(rules), data);
    std::string sequence;
    for (const AlertTransition& transition : transitions)
        sequence += std::to_string(transition.ms / 1000) + (transition.state == AlertState::pending  ? "p "
                                                            : transition.state == AlertState::firing ? "f "
                                                                                                     : "r ");
    EXPECT_EQ(sequence, "10p 30f 50r 60p 80p ");  // an alert that flaps at its threshold never fires
}

TEST(AlertRules, ErrorsNameTheRule) {
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
