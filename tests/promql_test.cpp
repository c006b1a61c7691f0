// The evaluator against examples worked by hand from the published semantics.
#include "emulator/promql.hpp"

#include <gtest/gtest.h>

#include <bit>
#include <cmath>

namespace plumkeel::promql {
namespace {

const double stale = std::bit_cast<double>(std::uint64_t{0x7ff0000000000002});

// A sample every `step_s` from `from_s` on.
Series series(Labels labels, std::vector<double> values, std::int64_t step_s = 10, std::int64_t from_s = 0) {
    Series out{std::move(labels), {}};
    for (std::size_t i = 0; i < values.size(); ++i)
        out.points.push_back({(from_s + static_cast<std::int64_t>(i) * step_s) * 1000, values[i]});
    return out;
}

double one(const Database& data, const char* text, std::int64_t s) {
    const Vector got = Query(text).at(data, s * 1000);
    EXPECT_EQ(got.size(), 1u) << text;
    return got.empty() ? NAN : got[0].value;
}

TEST(Promql, RateOfASteadyCounter) {
    Database data;
    data.add(series({{"__name__", "c"}}, {0, 10, 20, 30, 40, 50, 60}));
    EXPECT_DOUBLE_EQ(one(data, "rate(c[1m])", 60), 1);
    EXPECT_DOUBLE_EQ(one(data, "increase(c[1m])", 60), 60);
    EXPECT_DOUBLE_EQ(one(data, "increase(c[30s])", 60), 30);
}

TEST(Promql, ACounterResetIsNoNegativeTraffic) {
    Database data;
    data.add(series({{"__name__", "c"}}, {100, 110, 120, 5, 15, 25, 35}));
    // 20 before, 5 of the new life up to its first sample, 30 after: 55 over 60 s sampled.
    EXPECT_DOUBLE_EQ(one(data, "increase(c[1m])", 60), 55);
}

// Samples at 25, 35, 45 in a range from 0 to 60: each end is further off than 1.1 steps, so half a step is added there.
TEST(Promql, ExtrapolationStopsHalfAStepFromTheSamples) {
    Database data;
    data.add(series({{"__name__", "c"}}, {100, 110, 120}, 10, 25));
    EXPECT_DOUBLE_EQ(one(data, "increase(c[1m])", 60), 20 * (20.0 + 5 + 5) / 20);
    // Samples at 5, 15, ..., 55: both ends are within 1.1 steps, so it is carried all the way.
    Database near;
    near.add(series({{"__name__", "c"}}, {1000, 1010, 1020, 1030, 1040, 1050}, 10, 5));
    EXPECT_DOUBLE_EQ(one(near, "increase(c[1m])", 60), 60);
}

// A counter is not carried back below zero: 2 at its first sample and 20 in 20 s, so zero was 2 s before.
TEST(Promql, ACounterIsNotCarriedBelowZero) {
    Database data;
    data.add(series({{"__name__", "c"}}, {2, 12, 22}, 10, 5));
    EXPECT_DOUBLE_EQ(one(data, "increase(c[25s])", 25), 20 * (20.0 + 2) / 20);
}

TEST(Promql, StalenessEndsASeriesAtOnceAndLookbackAfterFiveMinutes) {
    Database data;
    data.add(series({{"__name__", "g"}, {"n", "1"}}, {1, 2, stale}));
    data.add(series({{"__name__", "g"}, {"n", "2"}}, {7}));
    EXPECT_EQ(Query("g").at(data, 15'000).size(), 2u);
    EXPECT_EQ(Query("g").at(data, 20'000).size(), 1u);
    EXPECT_EQ(Query("g").at(data, 299'000).size(), 1u);
    EXPECT_TRUE(Query("g").at(data, 300'000).empty());
    EXPECT_EQ(one(data, "absent(g{n=\"3\"})", 10), 1);
    EXPECT_TRUE(Query("absent(g)").at(data, 10'000).empty());
}

TEST(Promql, QuantilesAreInterpolatedWithinTheirBucket) {
    Database data;
    const auto bucket = [&](const char* le, double count) {
        data.add(series({{"__name__", "h_bucket"}, {"le", le}}, {count}));
    };
    bucket("0.1", 10);
    bucket("0.5", 30);
    bucket("1", 40);
    bucket("+Inf", 50);
    EXPECT_DOUBLE_EQ(one(data, "histogram_quantile(0.1, h_bucket)", 0), 0.05);
    EXPECT_DOUBLE_EQ(one(data, "histogram_quantile(0.4, h_bucket)", 0), 0.3);
    EXPECT_DOUBLE_EQ(one(data, "histogram_quantile(0.7, h_bucket)", 0), 0.75);
    EXPECT_DOUBLE_EQ(one(data, "histogram_quantile(0.99, h_bucket)", 0), 1);  // in the last: the bound below it
}

TEST(Promql, AggregationMatchingAndPrecedence) {
    Database data;
    for (int i = 1; i <= 4; ++i)
        data.add(series({{"__name__", "m"}, {"zone", i % 2 ? "a" : "b"}, {"n", std::to_string(i)}},
                        {static_cast<double>(i)}));
    data.add(series({{"__name__", "limit"}, {"zone", "a"}}, {3}));
    EXPECT_EQ(one(data, "sum(m)", 0), 10);
    EXPECT_EQ(one(data, "sum by (zone) (m{zone=\"a\"})", 0), 4);
    EXPECT_EQ(one(data, "max(m) without (n) > 3", 0), 4);
    EXPECT_EQ(one(data, "count(m{n=~\"1|2\", zone!=\"b\"})", 0), 1);
    EXPECT_EQ(one(data, "1 + 2 * 3 - 4 / 2", 0), 5);
    EXPECT_EQ(one(data, "sum by (zone) (m) > on (zone) limit", 0), 4);
    EXPECT_EQ(Query("m and on (zone) limit").at(data, 0).size(), 2u);
    EXPECT_EQ(Query("m unless on (zone) limit").at(data, 0).size(), 2u);
    EXPECT_EQ(Query("m > 1 or m < 2").at(data, 0).size(), 4u);
    EXPECT_THROW(Query("m > on (zone) m").at(data, 0), Fault);
}

TEST(Promql, BadTextIsToldWithItsPlace) {
    for (const char* text :
         {"sum(", "rate(c)", "c[5x]", "c{a}", "1 +", "c{a=\"x\"", "sum by zone (c)", "c)", "histogram_quantile(c)"})
        EXPECT_THROW(Query{text}, Fault) << text;
    EXPECT_THROW(Query(std::string(100'000, '(')), Fault);
    EXPECT_THROW(Query(std::string(100'000, '-')), Fault);
    try {
        Query("sum(c))");
        FAIL();
    } catch (const Fault& fault) {
        EXPECT_STREQ(fault.what(), "at 6: an operator or the end is wanted, not ')'");
    }
}

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

TEST(Rules, AnAlertIsPendingThenFiresThenIsResolved) {
    Database data;
    data.add(series({{"__name__", "g"}, {"n", "1"}}, {1, 9, 9, 9, 9, 1, 9, 1, 9, 9}));
    const auto turns = play(read_rules(rules), data);
    std::string told;
    for (const Turn& each : turns)
        told += std::to_string(each.ms / 1000) + (each.to == Turn::To::pending  ? "p "
                                                  : each.to == Turn::To::firing ? "f "
                                                                                : "r ");
    EXPECT_EQ(told, "10p 30f 50r 60p 80p ");  // what flaps at its threshold never fires
}

TEST(Rules, AFaultNamesItsRule) {
    try {
        read_rules("groups: [{name: g, rules: [{alert: Broken, expr: 'sum('}]}]");
        FAIL();
    } catch (const Fault& fault) {
        EXPECT_EQ(std::string(fault.what()).substr(0, 8), "Broken: ");
    }
    EXPECT_THROW(read_rules("nothing"), Fault);
}

}  // namespace
}  // namespace plumkeel::promql
