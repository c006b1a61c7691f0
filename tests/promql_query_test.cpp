/// Tests of the PromQL evaluator; the expected values follow from the documentation of PromQL.
#include <gtest/gtest.h>

#include <bit>
#include <cmath>

#include "emulator/promql/query.hpp"
#include "tests/promql_fixture.hpp"

namespace plumkeel::promql {
namespace {

const double stale_value = std::bit_cast<double>(std::uint64_t{0x7ff0000000000002});

double evaluate_single_value(const Database& database, const char* expression, std::int64_t time_s) {
    const Vector result = Query(expression).evaluate(database, time_s * 1000);
    EXPECT_EQ(result.size(), 1u) << expression;
    return result.empty() ? NAN : result[0].value;
}

TEST(PromqlQuery, RateAndIncreaseOfCounterWithoutReset) {
    Database database;
    database.add(make_series({{"__name__", "c"}}, {0, 10, 20, 30, 40, 50, 60}));
    EXPECT_DOUBLE_EQ(evaluate_single_value(database, "rate(c[1m])", 60), 1);
    EXPECT_DOUBLE_EQ(evaluate_single_value(database, "increase(c[1m])", 60), 60);
    EXPECT_DOUBLE_EQ(evaluate_single_value(database, "increase(c[30s])", 60), 30);
}

TEST(PromqlQuery, IncreaseIncludesCounterResets) {
    Database database;
    database.add(make_series({{"__name__", "c"}}, {100, 110, 120, 5, 15, 25, 35}));
    // 20 before the reset, 5 from 0 to the first sample after the reset, and 30 after that sample: 55 in total.
    EXPECT_DOUBLE_EQ(evaluate_single_value(database, "increase(c[1m])", 60), 55);
}

// The samples are at 25, 35 and 45 s and the range is 0 to 60 s. Both range boundaries are more than 1.1 sample
// intervals (11 s) from the nearest sample, so the increase is extrapolated by half an interval (5 s) on each side.
TEST(PromqlQuery, ExtrapolatesToNearBoundariesElseByHalfAnInterval) {
    Database database;
    database.add(make_series({{"__name__", "c"}}, {100, 110, 120}, 10, 25));
    EXPECT_DOUBLE_EQ(evaluate_single_value(database, "increase(c[1m])", 60), 20 * (20.0 + 5 + 5) / 20);
    // The samples are at 5, 15, ..., 55 s. Both range boundaries are within 1.1 sample intervals (11 s) of a sample, so
    // the increase is extrapolated to 0 s and 60 s.
    Database database_near_boundaries;
    database_near_boundaries.add(make_series({{"__name__", "c"}}, {1000, 1010, 1020, 1030, 1040, 1050}, 10, 5));
    EXPECT_DOUBLE_EQ(evaluate_single_value(database_near_boundaries, "increase(c[1m])", 60), 60);
}

// The counter is 2 at its first sample and increases by 1 per second, so it is extrapolated only to 2 s before that
// sample, where it would be 0.
TEST(PromqlQuery, DoesNotExtrapolateBelowZero) {
    Database database;
    database.add(make_series({{"__name__", "c"}}, {2, 12, 22}, 10, 5));
    EXPECT_DOUBLE_EQ(evaluate_single_value(database, "increase(c[25s])", 25), 20 * (20.0 + 2) / 20);
}

TEST(PromqlQuery, SeriesEndsAtStalenessMarkerOrAfterLookbackPeriod) {
    Database database;
    database.add(make_series({{"__name__", "g"}, {"n", "1"}}, {1, 2, stale_value}));
    database.add(make_series({{"__name__", "g"}, {"n", "2"}}, {7}));
    EXPECT_EQ(Query("g").evaluate(database, 15'000).size(), 2u);
    EXPECT_EQ(Query("g").evaluate(database, 20'000).size(), 1u);
    EXPECT_EQ(Query("g").evaluate(database, 299'000).size(), 1u);
    EXPECT_TRUE(Query("g").evaluate(database, 300'000).empty());
    EXPECT_EQ(evaluate_single_value(database, "absent(g{n=\"3\"})", 10), 1);
    EXPECT_TRUE(Query("absent(g)").evaluate(database, 10'000).empty());
}

TEST(PromqlQuery, HistogramQuantileInterpolatesWithinBucket) {
    Database database;
    const auto add_bucket = [&](const char* upper_bound, double count) {
        database.add(make_series({{"__name__", "h_bucket"}, {"le", upper_bound}}, {count}));
    };
    add_bucket("0.1", 10);
    add_bucket("0.5", 30);
    add_bucket("1", 40);
    add_bucket("+Inf", 50);
    EXPECT_DOUBLE_EQ(evaluate_single_value(database, "histogram_quantile(0.1, h_bucket)", 0), 0.05);
    EXPECT_DOUBLE_EQ(evaluate_single_value(database, "histogram_quantile(0.4, h_bucket)", 0), 0.3);
    EXPECT_DOUBLE_EQ(evaluate_single_value(database, "histogram_quantile(0.7, h_bucket)", 0), 0.75);
    // A quantile in the bucket +Inf is estimated as the highest finite upper bound.
    EXPECT_DOUBLE_EQ(evaluate_single_value(database, "histogram_quantile(0.99, h_bucket)", 0), 1);
}

TEST(PromqlQuery, AggregationLabelMatchingAndOperatorPrecedence) {
    Database database;
    for (int i = 1; i <= 4; ++i)
        database.add(make_series({{"__name__", "m"}, {"zone", i % 2 ? "a" : "b"}, {"n", std::to_string(i)}},
                                 {static_cast<double>(i)}));
    database.add(make_series({{"__name__", "limit"}, {"zone", "a"}}, {3}));
    EXPECT_EQ(evaluate_single_value(database, "sum(m)", 0), 10);
    EXPECT_EQ(evaluate_single_value(database, "sum by (zone) (m{zone=\"a\"})", 0), 4);
    EXPECT_EQ(evaluate_single_value(database, "max(m) without (n) > 3", 0), 4);
    EXPECT_EQ(evaluate_single_value(database, "count(m{n=~\"1|2\", zone!=\"b\"})", 0), 1);
    EXPECT_EQ(evaluate_single_value(database, "1 + 2 * 3 - 4 / 2", 0), 5);
    EXPECT_EQ(evaluate_single_value(database, "sum by (zone) (m) > on (zone) limit", 0), 4);
    EXPECT_EQ(Query("m and on (zone) limit").evaluate(database, 0).size(), 2u);
    EXPECT_EQ(Query("m unless on (zone) limit").evaluate(database, 0).size(), 2u);
    EXPECT_EQ(Query("m > 1 or m < 2").evaluate(database, 0).size(), 4u);
    EXPECT_THROW(Query("m > on (zone) m").evaluate(database, 0), Error);
}

TEST(PromqlQuery, SyntaxErrorsContainByteOffset) {
    for (const char* expression :
         {"sum(", "rate(c)", "c[5x]", "c{a}", "1 +", "c{a=\"x\"", "sum by zone (c)", "c)", "histogram_quantile(c)"})
        EXPECT_THROW(Query{expression}, Error) << expression;
    EXPECT_THROW(Query(std::string(100'000, '(')), Error);
    EXPECT_THROW(Query(std::string(100'000, '-')), Error);
    try {
        Query("sum(c))");
        FAIL();
    } catch (const Error& error) {
        EXPECT_STREQ(error.what(), "at offset 6: expected an operator or the end of the expression, found ')'");
    }
}

}  // namespace
}  // namespace plumkeel::promql
