/// The quick forms of the scale runs: counts and orders of growth, which are the same on any machine; never a wall
/// time. Also what plans and results files are rejected for.
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <map>
#include <ostream>

#include "config/jsonnet_reader.hpp"
#include "scale/plan.hpp"
#include "scale/resource_needs.hpp"
#include "scale/slopes.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

std::map<std::string, double> measure(std::size_t invokers, Disturbance disturbance = Disturbance::none,
                                      double exponent = 1.4) {
    DecisionCase decision_case;
    decision_case.fleet.invokers = invokers;
    decision_case.fleet.instances = 20;
    decision_case.functions = 20'000;
    decision_case.exponent = exponent;
    decision_case.length = 12s;
    decision_case.disturbance = disturbance;
    std::map<std::string, double> out;
    for (const Measurement& each : measure_decisions(decision_case)) out[each.metric] = each.value;
    return out;
}

// How a count grows from one fleet to another ten times as large: 1 is in step with it.
double growth(double small, double large) {
    return std::log10(std::max(large, 1e-9) / std::max(small, 1e-9));
}

constexpr std::size_t small_fleet = 800, large_fleet = 8000;
constexpr double growth_limit = 0.3, visited_limit = 64;

struct GrowthCase {
    const char* name;
    Disturbance disturbance;
    double exponent;
};
void PrintTo(const GrowthCase& growth_case, std::ostream* out) {
    *out << growth_case.name;
}

class DecisionGrowth : public testing::TestWithParam<GrowthCase> {};

TEST_P(DecisionGrowth, WorkPerPlacementAndSweepIsBounded) {
    const GrowthCase& growth_case = GetParam();
    const auto small = measure(small_fleet, growth_case.disturbance, growth_case.exponent),
               large = measure(large_fleet, growth_case.disturbance, growth_case.exponent);
    EXPECT_LE(large.at("visited_a_choice"), visited_limit);
    EXPECT_LE(growth(small.at("visited_a_choice"), large.at("visited_a_choice")), growth_limit);
    EXPECT_LE(growth(small.at("weighed_a_choice"), large.at("weighed_a_choice")), growth_limit);
    EXPECT_LE(growth(small.at("swept_a_call"), large.at("swept_a_call")), growth_limit);
    EXPECT_LE(growth(small.at("allocations_a_call"), large.at("allocations_a_call")), growth_limit);
}

TEST_P(DecisionGrowth, HashingIsOnePassOverFleetPerNewFunction) {
    const GrowthCase& growth_case = GetParam();
    const auto large = measure(large_fleet, growth_case.disturbance, growth_case.exponent);
    // Requests of the warm-up are for new functions too: the known ones bound their number from above. Popular
    // functions, whose number of home invokers grows, and change logs that no longer reach back take some passes more.
    const double passes = large.at("hashed") / static_cast<double>(large_fleet);
    EXPECT_LE(passes, 1.5 * large.at("functions_held") + 50);
}

TEST_P(DecisionGrowth, MemoryGrowsWithInvokersNotWithInvokersTimesFunctions) {
    const GrowthCase& growth_case = GetParam();
    const auto small = measure(small_fleet, growth_case.disturbance, growth_case.exponent),
               large = measure(large_fleet, growth_case.disturbance, growth_case.exponent);
    constexpr double bytes_an_invoker = 3000;
    EXPECT_LE(large.at("module_memory") - small.at("module_memory"), bytes_an_invoker * (large_fleet - small_fleet));
}

INSTANTIATE_TEST_SUITE_P(Cases, DecisionGrowth,
                         testing::Values(GrowthCase{"PopularFunctions", Disturbance::none, 1.4},
                                         GrowthCase{"ManyFunctions", Disturbance::none, 1.0},
                                         GrowthCase{"Restarts", Disturbance::restarts, 1.4},
                                         GrowthCase{"CapacityChanges", Disturbance::capacity_changes, 1.4}),
                         [](const auto& test_case) { return test_case.param.name; });

TEST(DecisionCounts, AreReproducible) {
    const auto first = measure(300), second = measure(300);
    for (const char* count : {"visited_a_choice", "weighed_a_choice", "hashed", "swept_a_call", "probes", "attempts",
                              "module_memory", "functions_held"})
        EXPECT_EQ(first.at(count), second.at(count)) << count;
}

TEST(DecisionCounts, KnownFunctionsAreBounded) {
    DecisionCase decision_case;
    decision_case.fleet.invokers = 200;
    decision_case.requests_per_s = 4000;
    decision_case.length = 10s;
    decision_case.disturbance = Disturbance::new_functions;
    std::map<std::string, double> figures;
    for (const Measurement& each : measure_decisions(decision_case)) figures[each.metric] = each.value;
    EXPECT_EQ(figures.at("functions_held"), 16'384);
}

TEST(ManyControllers, SeeLessEachAndLoseMoreToDeadInvokerAsTheirNumberGrows) {
    ManyControllersCase controllers_case;
    controllers_case.fleet.invokers = 20;
    controllers_case.functions = 500;
    controllers_case.requests_per_s = 1000;
    controllers_case.length = 12s;
    std::map<int, std::map<std::string, double>> by_number;
    for (const int controllers : {2, 20}) {
        controllers_case.controllers = controllers;
        for (const Measurement& each : measure_many_controllers(controllers_case))
            by_number[controllers][each.metric] = each.value;
    }
    EXPECT_GT(by_number[2]["samples_an_invoker_a_minute"], 5 * by_number[20]["samples_an_invoker_a_minute"]);
    EXPECT_GE(by_number[20]["attempts_to_dead"], by_number[2]["attempts_to_dead"]);
}

// ---------------------------------------------------------------- plans

class ScaleFileTest : public testing::Test {
protected:
    std::string file(const std::string& text) const {
        const std::string name = testing::TempDir() + "/scale_files." + std::to_string(::getpid());
        std::ofstream(name) << text;
        return name;
    }
    std::string plan_error(const std::string& text) const {
        try {
            read_plan(file(text));
        } catch (const ConfigError& error) {
            return error.what();
        }
        return "none";
    }
    std::string results_error(const std::string& text) const {
        try {
            read_results(file(text));
        } catch (const ResultsError& error) {
            return error.what();
        }
        return "none";
    }
};

TEST_F(ScaleFileTest, InvalidPlanIsRejectedWithFileAndField) {
    const std::map<std::string, std::string> invalid_plans = {
        {"{ decisions: [{ over: 'invokers', sizes: [10] }] }", "name: is missing"},
        {"{ decisions: [{ name: 'a', sizes: [10], invoker: 3 }] }", "invoker"},
        {"{ decisions: [{ name: 'a' }] }", "sizes: is no list"},
        {"{ decisions: [{ name: 'a', sizes: [0] }] }", "sizes: holds one not between"},
        {"{ decisions: [{ name: 'a', sizes: [1e12] }] }", "sizes: holds one not between"},
        {"{ decisions: [{ name: 'a', sizes: [10], over: 'cows' }] }", "over: is none of"},
        {"{ decisions: [{ name: 'a', sizes: [10], runs: 1000 }] }", "runs: is over"},
        {"{ decisions: [{ name: 'a', sizes: [10], length: '5h' }] }", "length: is not between"},
        {"{ decisions: [{ name: 'a', sizes: [10], exponent: -1 }] }", "exponent: found -1, expected at least 0"},
        {"{ decisions: [{ name: 'a', sizes: [10], disturbance: 'rain' }] }", "disturbance"},
        {"{ platform: [{ name: 'a', sizes: [10], processes: 100000 }] }", "processes: is over"},
        {"{ }", "names nothing to measure"},
    };
    for (const auto& [text, expected] : invalid_plans) {
        const std::string message = plan_error(text);
        EXPECT_NE(message.find(expected), std::string::npos) << text << " gave " << message;
        EXPECT_NE(message.find("scale_files."), std::string::npos) << message;
    }
}

TEST_F(ScaleFileTest, PlansOfRepositoryAreValid) {
    for (const char* name : {"decisions", "hard-cases", "controllers", "sampling", "platform"})
        EXPECT_NO_THROW(read_plan(std::string(PLUMKEEL_PLANS) + "/" + name + ".jsonnet")) << name;
}

TEST_F(ScaleFileTest, CaseBeyondMachineIsRejectedBeforeItStarts) {
    DecisionCase decision_case;
    decision_case.fleet.invokers = 100'000;
    decision_case.fleet.instances = 10'000;
    try {
        require_resources("a case", resource_needs(decision_case));
        FAIL() << "32 GB were granted";
    } catch (const ConfigError& error) {
        EXPECT_NE(std::string(error.what()).find("would need"), std::string::npos) << error.what();
    }
    PlatformCase many;
    many.watchers = 1'000'000;
    EXPECT_THROW(require_resources("a case", resource_needs(many)), ConfigError);
    EXPECT_NO_THROW(require_resources("a case", resource_needs(DecisionCase{})));
}

// ---------------------------------------------------------------- results

TEST_F(ScaleFileTest, ResultsRoundTrip) {
    const ResultsFile written{
        "a machine", "abc", {{"decisions", "exponent 1.4", "invokers", 7200, 2, "module_memory", "bytes", 15964456}}};
    const std::string name = file("");
    write_results(name, written);
    const ResultsFile read = read_results(name);
    EXPECT_EQ(read.machine, "a machine");
    EXPECT_EQ(read.commit, "abc");
    ASSERT_EQ(read.rows.size(), 1u);
    EXPECT_EQ(read.rows[0].series, "exponent 1.4");
    EXPECT_EQ(read.rows[0].size, 7200);
    EXPECT_EQ(read.rows[0].run, 2);
    EXPECT_EQ(read.rows[0].value, 15964456);
}

TEST_F(ScaleFileTest, ForeignOrTruncatedResultsAreRejected) {
    const std::string name = file("");
    write_results(name,
                  {"m", "c", {{"d", "s", "invokers", 1, 0, "m", "u", 1}, {"d", "s", "invokers", 2, 0, "m", "u", 2}}});
    std::ifstream in(name);
    const std::string whole{std::istreambuf_iterator<char>(in), {}};
    EXPECT_EQ(results_error(whole), "none");
    for (std::size_t at = 0; at + 1 < whole.size(); ++at)
        EXPECT_NE(results_error(whole.substr(0, at)), "none") << "cut at " << at;
    const auto with = [&](const std::string& what, const std::string& by) {
        std::string text = whole;
        return results_error(text.replace(text.find(what), what.size(), by));
    };
    EXPECT_NE(with("version 1", "version 2"), "none");
    EXPECT_NE(with("# rows: 2", "# rows: 3").find("says 3 rows"), std::string::npos);
    EXPECT_NE(with("invokers,1", "invokers,one").find("is no number"), std::string::npos);
    EXPECT_NE(with(",m,u,1", ",m,u,1,9").find("columns"), std::string::npos);
    EXPECT_THROW(write_results(name, {"m", "c", {{"d", "s, t", "invokers", 1, 0, "m", "u", 1}}}), ResultsError);
}

TEST(Slopes, FitLineWithRangeAndExponent) {
    std::vector<Row> rows;
    for (int run = 0; run < 2; ++run)
        for (const double size : {10.0, 100.0, 1000.0})
            rows.push_back({"e", "s", "invokers", size, run, "m", "u", (run + 2) * size});
    rows.push_back({"e", "lonely", "invokers", 10, 0, "m", "u", 1});
    const auto slopes = compute_slopes(rows);
    ASSERT_EQ(slopes.size(), 1u) << "one size has no slope";
    EXPECT_NEAR(slopes[0].slope, 2.5, 1e-9);
    EXPECT_NEAR(slopes[0].slope_min, 2, 1e-9);
    EXPECT_NEAR(slopes[0].slope_max, 3, 1e-9);
    EXPECT_NEAR(slopes[0].intercept, 0, 1e-6);
    EXPECT_GT(slopes[0].residual, 0);
    ASSERT_TRUE(slopes[0].exponent);
    EXPECT_NEAR(*slopes[0].exponent, 1, 1e-9);
    EXPECT_EQ(slopes[0].at_largest, 2500);
    EXPECT_EQ(slopes[0].runs, 2);
}

}  // namespace
}  // namespace plumkeel::scale
