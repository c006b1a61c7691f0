// The quick forms of the scale runs: counts and orders of growth, which are the same on any machine; never a wall time.
// Also what plans and results files are refused for.
#include <gtest/gtest.h>
#include <unistd.h>

#include <fstream>
#include <map>
#include <ostream>

#include "config/jsonnet_reader.hpp"
#include "scale/plan.hpp"
#include "scale/slopes.hpp"

namespace plumkeel::scale {
namespace {

using namespace std::chrono_literals;

std::map<std::string, double> measure(std::size_t invokers, Disturbance disturbance = Disturbance::none,
                                      double exponent = 1.4) {
    DecisionCase of;
    of.fleet.invokers = invokers;
    of.fleet.instances = 20;
    of.functions = 20'000;
    of.exponent = exponent;
    of.length = 12s;
    of.disturbance = disturbance;
    std::map<std::string, double> out;
    for (const Measured& each : measure_decisions(of)) out[each.metric] = each.value;
    return out;
}

// How a count grows from one fleet to another ten times as large: 1 is in step with it.
double growth(double small, double large) {
    return std::log10(std::max(large, 1e-9) / std::max(small, 1e-9));
}

constexpr std::size_t small_fleet = 800, large_fleet = 8000;
constexpr double hardly_grows = 0.3, most_visited = 64;

struct GrowthCase {
    const char* name;
    Disturbance disturbance;
    double exponent;
};
void PrintTo(const GrowthCase& of, std::ostream* out) {
    *out << of.name;
}

class Growth : public testing::TestWithParam<GrowthCase> {};

TEST_P(Growth, OfWhatAChoiceAndASweepLookAtIsBounded) {
    const GrowthCase& of = GetParam();
    const auto small = measure(small_fleet, of.disturbance, of.exponent),
               large = measure(large_fleet, of.disturbance, of.exponent);
    EXPECT_LE(large.at("visited_a_choice"), most_visited);
    EXPECT_LE(growth(small.at("visited_a_choice"), large.at("visited_a_choice")), hardly_grows);
    EXPECT_LE(growth(small.at("weighed_a_choice"), large.at("weighed_a_choice")), hardly_grows);
    EXPECT_LE(growth(small.at("swept_a_call"), large.at("swept_a_call")), hardly_grows);
    EXPECT_LE(growth(small.at("allocations_a_call"), large.at("allocations_a_call")), hardly_grows);
}

TEST_P(Growth, OfRanksIsOnePassOverTheFleetForAFunctionAtItsFirstSight) {
    const GrowthCase& of = GetParam();
    const auto large = measure(large_fleet, of.disturbance, of.exponent);
    // Calls of the quarter that is warm-up meet functions too: those held bound the first sights from above.
    // Favourites, whose need of homes grows, and logs that no longer reach back take some passes more.
    const double passes = large.at("hashed") / static_cast<double>(large_fleet);
    EXPECT_LE(passes, 1.5 * large.at("functions_held") + 50);
}

TEST_P(Growth, OfMemoryIsThatOfTheInvokersAndNotOfInvokersTimesFunctions) {
    const GrowthCase& of = GetParam();
    const auto small = measure(small_fleet, of.disturbance, of.exponent),
               large = measure(large_fleet, of.disturbance, of.exponent);
    constexpr double bytes_an_invoker = 3000;
    EXPECT_LE(large.at("module_memory") - small.at("module_memory"), bytes_an_invoker * (large_fleet - small_fleet));
}

INSTANTIATE_TEST_SUITE_P(Cases, Growth,
                         testing::Values(GrowthCase{"Favourites", Disturbance::none, 1.4},
                                         GrowthCase{"ManyNames", Disturbance::none, 1.0},
                                         GrowthCase{"Restarts", Disturbance::restarts, 1.4},
                                         GrowthCase{"Units", Disturbance::units_change, 1.4}),
                         [](const auto& of) { return of.param.name; });

TEST(ScaleCounts, AreTheSameInEachRun) {
    const auto first = measure(300), second = measure(300);
    for (const char* count : {"visited_a_choice", "weighed_a_choice", "hashed", "swept_a_call", "probes", "attempts",
                              "module_memory", "functions_held"})
        EXPECT_EQ(first.at(count), second.at(count)) << count;
}

TEST(ScaleCounts, NamesAreHeldUpToABound) {
    DecisionCase of;
    of.fleet.invokers = 200;
    of.calls_per_s = 4000;
    of.length = 10s;
    of.disturbance = Disturbance::new_names;
    std::map<std::string, double> figures;
    for (const Measured& each : measure_decisions(of)) figures[each.metric] = each.value;
    EXPECT_EQ(figures.at("functions_held"), 16'384);
}

TEST(ManyControllers, MoreOfThemSeeLessAndLoseMoreToADeadInvoker) {
    ManyControllersCase of;
    of.fleet.invokers = 20;
    of.functions = 500;
    of.calls_per_s = 1000;
    of.length = 12s;
    std::map<int, std::map<std::string, double>> by_number;
    for (const int controllers : {2, 20}) {
        of.controllers = controllers;
        for (const Measured& each : measure_many_controllers(of)) by_number[controllers][each.metric] = each.value;
    }
    EXPECT_GT(by_number[2]["samples_an_invoker_a_minute"], 5 * by_number[20]["samples_an_invoker_a_minute"]);
    EXPECT_GE(by_number[20]["attempts_to_dead"], by_number[2]["attempts_to_dead"]);
}

// ---------------------------------------------------------------- plans

class ScaleFiles : public testing::Test {
protected:
    std::string file(const std::string& text) const {
        const std::string name = testing::TempDir() + "/scale_files." + std::to_string(::getpid());
        std::ofstream(name) << text;
        return name;
    }
    std::string plan_fault(const std::string& text) const {
        try {
            read_plan(file(text));
        } catch (const ConfigError& fault) {
            return fault.what();
        }
        return "none";
    }
    std::string results_fault(const std::string& text) const {
        try {
            read_results(file(text));
        } catch (const ResultsFault& fault) {
            return fault.what();
        }
        return "none";
    }
};

TEST_F(ScaleFiles, APlanIsRefusedWithFileAndField) {
    const std::map<std::string, std::string> faults = {
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
    for (const auto& [text, fault] : faults) {
        const std::string said = plan_fault(text);
        EXPECT_NE(said.find(fault), std::string::npos) << text << " said " << said;
        EXPECT_NE(said.find("scale_files."), std::string::npos) << said;
    }
}

TEST_F(ScaleFiles, ThePlansInTheRepositoryAreRead) {
    for (const char* name : {"decisions", "hard-cases", "controllers", "sampling", "platform"})
        EXPECT_NO_THROW(read_plan(std::string(PLUMKEEL_PLANS) + "/" + name + ".jsonnet")) << name;
}

TEST_F(ScaleFiles, WhatWouldNotFitIsRefusedBeforeItStarts) {
    DecisionCase of;
    of.fleet.invokers = 100'000;
    of.fleet.instances = 10'000;
    try {
        refuse_what_does_not_fit("a case", need_of(of));
        FAIL() << "32 GB were granted";
    } catch (const ConfigError& fault) {
        EXPECT_NE(std::string(fault.what()).find("would need"), std::string::npos) << fault.what();
    }
    PlatformCase many;
    many.watchers = 1'000'000;
    EXPECT_THROW(refuse_what_does_not_fit("a case", need_of(many)), ConfigError);
    EXPECT_NO_THROW(refuse_what_does_not_fit("a case", need_of(DecisionCase{})));
}

// ---------------------------------------------------------------- results

TEST_F(ScaleFiles, ResultsComeBackAsTheyWere) {
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

TEST_F(ScaleFiles, AForeignOrCutOffResultsFileIsRefused) {
    const std::string name = file("");
    write_results(name,
                  {"m", "c", {{"d", "s", "invokers", 1, 0, "m", "u", 1}, {"d", "s", "invokers", 2, 0, "m", "u", 2}}});
    std::ifstream in(name);
    const std::string whole{std::istreambuf_iterator<char>(in), {}};
    EXPECT_EQ(results_fault(whole), "none");
    for (std::size_t at = 0; at + 1 < whole.size(); ++at)
        EXPECT_NE(results_fault(whole.substr(0, at)), "none") << "cut at " << at;
    const auto with = [&](const std::string& what, const std::string& by) {
        std::string text = whole;
        return results_fault(text.replace(text.find(what), what.size(), by));
    };
    EXPECT_NE(with("version 1", "version 2"), "none");
    EXPECT_NE(with("# rows: 2", "# rows: 3").find("says 3 rows"), std::string::npos);
    EXPECT_NE(with("invokers,1", "invokers,one").find("is no number"), std::string::npos);
    EXPECT_NE(with(",m,u,1", ",m,u,1,9").find("columns"), std::string::npos);
    EXPECT_THROW(write_results(name, {"m", "c", {{"d", "s, t", "invokers", 1, 0, "m", "u", 1}}}), ResultsFault);
}

TEST(Slopes, OfALineAreFoundWithRangeAndExponent) {
    std::vector<Row> rows;
    for (int run = 0; run < 2; ++run)
        for (const double size : {10.0, 100.0, 1000.0})
            rows.push_back({"e", "s", "invokers", size, run, "m", "u", (run + 2) * size});
    rows.push_back({"e", "lonely", "invokers", 10, 0, "m", "u", 1});
    const auto slopes = slopes_of(rows);
    ASSERT_EQ(slopes.size(), 1u) << "one size has no slope";
    EXPECT_NEAR(slopes[0].slope, 2.5, 1e-9);
    EXPECT_NEAR(slopes[0].slope_least, 2, 1e-9);
    EXPECT_NEAR(slopes[0].slope_most, 3, 1e-9);
    EXPECT_NEAR(slopes[0].intercept, 0, 1e-6);
    EXPECT_GT(slopes[0].residual, 0);
    ASSERT_TRUE(slopes[0].exponent);
    EXPECT_NEAR(*slopes[0].exponent, 1, 1e-9);
    EXPECT_EQ(slopes[0].at_largest, 2500);
    EXPECT_EQ(slopes[0].runs, 2);
}

}  // namespace
}  // namespace plumkeel::scale
