/// The PromQL evaluator against examples worked by hand from the documented semantics.
#include <gtest/gtest.h>

#include <bit>
#include <cmath>

#include "emulator/promql/query.hpp"
#include "tests/promql_fixture.hpp"

namespace plumkeel::promql {
namespace {

const double stale = std::bit_cast<double>(std::uint64_t{0x7ff0000000000002});

double evaluate_one(const Database& data, const char* text, std::int64_t s) {
    const Vector result = Query(text).at(data, s * 1000);
    EXPECT_EQ(result.size(), 1u) << text;
    return result.empty() ? NAN : result[0].value;
}

TEST(PromqlQuery, RateOfASteadyCounter) {
    Database data;
    data.add(series({{"__name__", "c"}}, {0, 10, 20, 30, 40, 50, 60}));
    EXPECT_DOUBLE_EQ(evaluate_one(data, "rate(c[1m])", 60), 1);
    EXPECT_DOUBLE_EQ(evaluate_one(data, "increase(c[1m])", 60), 60);
    EXPECT_DOUBLE_EQ(evaluate_one(data, "increase(c[30s])", 60), 30);
}

TEST(PromqlQuery, CounterResetIsNotNegative) {
    Database data;
    data.add(series({{"__name__", "c"}}, {100, 110, 120, 5, 15, 25, 35}));
    // 20 before the reset, 5 from zero to the first sample behind it, 30 after: 55 over 60 s sampled.
    EXPECT_DOUBLE_EQ(evaluate_one(data, "increase(c[1m])", 60), 55);
}

// Samples at 25, 35, 45 in a range from 0 to 60: each end is more than 1.1 intervals away, so half an interval is added
// there.
TEST(PromqlQuery, ExtrapolatesAtMostHalfAnIntervalBeyondTheSamples) {
    Database data;
    data.add(series({{"__name__", "c"}}, {100, 110, 120}, 10, 25));
    EXPECT_DOUBLE_EQ(evaluate_one(data, "increase(c[1m])", 60), 20 * (20.0 + 5 + 5) / 20);
    // Samples at 5, 15, ..., 55: both ends are within 1.1 intervals, so the increase is extrapolated to them.
    Database near;
    near.add(series({{"__name__", "c"}}, {1000, 1010, 1020, 1030, 1040, 1050}, 10, 5));
    EXPECT_DOUBLE_EQ(evaluate_one(near, "increase(c[1m])", 60), 60);
}

// A counter is not extrapolated below zero: 2 at its first sample and 20 in 20 s, so it was zero 2 s before.
TEST(PromqlQuery, DoesNotExtrapolateBelowZero) {
    Database data;
    data.add(series({{"__name__", "c"}}, {2, 12, 22}, 10, 5));
    EXPECT_DOUBLE_EQ(evaluate_one(data, "increase(c[25s])", 25), 20 * (20.0 + 2) / 20);
}

TEST(PromqlQuery, SeriesEndsAtAStalenessMarkerOrAfterTheLookback) {
    Database data;
    data.add(series({{"__name__", "g"}, {"n", "1"}}, {1, 2, stale}));
    data.add(series({{"__name__", "g"}, {"n", "2"}}, {7}));
    EXPECT_EQ(Query("g").at(data, 15'000).size(), 2u);
    EXPECT_EQ(Query("g").at(data, 20'000).size(), 1u);
    EXPECT_EQ(Query("g").at(data, 299'000).size(), 1u);
    EXPECT_TRUE(Query("g").at(data, 300'000).empty());
    EXPECT_EQ(evaluate_one(data, "absent(g{n=\"3\"})", 10), 1);
    EXPECT_TRUE(Query("absent(g)").at(data, 10'000).empty());
}

TEST(PromqlQuery, QuantilesAreInterpolatedWithinTheirBucket) {
    Database data;
    const auto bucket = [&](const char* le, double count) {
        data.add(series({{"__name__", "h_bucket"}, {"le", le}}, {count}));
    };
    bucket("0.1", 10);
    bucket("0.5", 30);
    bucket("1", 40);
    bucket("+Inf", 50);
    EXPECT_DOUBLE_EQ(evaluate_one(data, "histogram_quantile(0.1, h_bucket)", 0), 0.05);
    EXPECT_DOUBLE_EQ(evaluate_one(data, "histogram_quantile(0.4, h_bucket)", 0), 0.3);
    EXPECT_DOUBLE_EQ(evaluate_one(data, "histogram_quantile(0.7, h_bucket)", 0), 0.75);
    EXPECT_DOUBLE_EQ(evaluate_one(data, "histogram_quantile(0.99, h_bucket)", 0),
                     1);  // in the last: the bound below it
}

TEST(PromqlQuery, AggregationMatchingAndPrecedence) {
    Database data;
    for (int i = 1; i <= 4; ++i)
        data.add(series({{"__name__", "m"}, {"zone", i % 2 ? "a" : "b"}, {"n", std::to_string(i)}},
                        {static_cast<double>(i)}));
    data.add(series({{"__name__", "limit"}, {"zone", "a"}}, {3}));
    EXPECT_EQ(evaluate_one(data, "sum(m)", 0), 10);
    EXPECT_EQ(evaluate_one(data, "sum by (zone) (m{zone=\"a\"})", 0), 4);
    EXPECT_EQ(evaluate_one(data, "max(m) without (n) > 3", 0), 4);
    EXPECT_EQ(evaluate_one(data, "count(m{n=~\"1|2\", zone!=\"b\"})", 0), 1);
    EXPECT_EQ(evaluate_one(data, "1 + 2 * 3 - 4 / 2", 0), 5);
    EXPECT_EQ(evaluate_one(data, "sum by (zone) (m) > on (zone) limit", 0), 4);
    EXPECT_EQ(Query("m and on (zone) limit").at(data, 0).size(), 2u);
    EXPECT_EQ(Query("m unless on (zone) limit").at(data, 0).size(), 2u);
    EXPECT_EQ(Query("m > 1 or m < 2").at(data, 0).size(), 4u);
    EXPECT_THROW(Query("m > on (zone) m").at(data, 0), Error);
}

TEST(PromqlQuery, SyntaxErrorsNameThePosition) {
    for (const char* text :
         {"sum(", "rate(c)", "c[5x]", "c{a}", "1 +", "c{a=\"x\"", "sum by zone (c)", "c)", "histogram_quantile(c)"})
        EXPECT_THROW(Query{text}, Error) << text;
    EXPECT_THROW(Query(std::string(100'000, '(')), Error);
    EXPECT_THROW(Query(std::string(100'000, '-')), Error);
    try {
        Query("sum(c))");
        FAIL();
    } catch (const Error& error) {
        EXPECT_STREQ(error.what(), "at 6: expected an operator or the end, found ')'");
    }
}

}  // namespace
}  // namespace plumkeel::promql
