/// Tests short scale runs: counts and growth exponents, which do not depend on the machine. Also tests that invalid
/// plans and results files are rejected.
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

std::map<std::string, double> measure_fleet(std::size_t invokers, Disturbance disturbance = Disturbance::none,
                                            double popularity_exponent = 1.4) {
    DecisionCase decision_case;
    decision_case.fleet.invokers = invokers;
    decision_case.fleet.max_instances_per_invoker = 20;
    decision_case.functions = 20'000;
    decision_case.popularity_exponent = popularity_exponent;
    decision_case.length = 12s;
    decision_case.disturbance = disturbance;
    std::map<std::string, double> figures;
    for (const Measurement& measurement : measure_decisions(decision_case))
        figures[measurement.metric] = measurement.value;
    return figures;
}

// Growth exponent of a value from a fleet to one ten times as large; 1 means growth in proportion to the fleet size.
double growth_exponent(double small_value, double large_value) {
    return std::log10(std::max(large_value, 1e-9) / std::max(small_value, 1e-9));
}

constexpr std::size_t small_fleet_size = 800, large_fleet_size = 8000;
constexpr double max_growth_exponent = 0.3, max_visited_per_placement = 64;

struct GrowthCase {
    const char* name;
    Disturbance disturbance;
    double popularity_exponent;
};
void PrintTo(const GrowthCase& growth_case, std::ostream* out) {
    *out << growth_case.name;
}

class DecisionGrowth : public testing::TestWithParam<GrowthCase> {};

TEST_P(DecisionGrowth, WorkPerPlacementAndSweepIsBounded) {
    const GrowthCase& growth_case = GetParam();
    const auto small_figures =
                   measure_fleet(small_fleet_size, growth_case.disturbance, growth_case.popularity_exponent),
               large_figures =
                   measure_fleet(large_fleet_size, growth_case.disturbance, growth_case.popularity_exponent);
    EXPECT_LE(large_figures.at("visited_a_choice"), max_visited_per_placement);
    EXPECT_LE(growth_exponent(small_figures.at("visited_a_choice"), large_figures.at("visited_a_choice")),
              max_growth_exponent);
    EXPECT_LE(growth_exponent(small_figures.at("weighed_a_choice"), large_figures.at("weighed_a_choice")),
              max_growth_exponent);
    EXPECT_LE(growth_exponent(small_figures.at("swept_a_call"), large_figures.at("swept_a_call")), max_growth_exponent);
    EXPECT_LE(growth_exponent(small_figures.at("allocations_a_call"), large_figures.at("allocations_a_call")),
              max_growth_exponent);
}

TEST_P(DecisionGrowth, FleetIsHashedAboutOncePerNewFunction) {
    const GrowthCase& growth_case = GetParam();
    const auto large_figures =
        measure_fleet(large_fleet_size, growth_case.disturbance, growth_case.popularity_exponent);
    // The scheduler hashes all invokers once for each new function, so the number of known functions bounds the passes.
    // The margin covers popular functions, which gain home invokers, and endpoint changes missing from the change log.
    const double passes = large_figures.at("hashed") / static_cast<double>(large_fleet_size);
    EXPECT_LE(passes, 1.5 * large_figures.at("functions_held") + 50);
}

TEST_P(DecisionGrowth, MemoryGrowsWithInvokersNotWithInvokersTimesFunctions) {
    const GrowthCase& growth_case = GetParam();
    const auto small_figures =
                   measure_fleet(small_fleet_size, growth_case.disturbance, growth_case.popularity_exponent),
               large_figures =
                   measure_fleet(large_fleet_size, growth_case.disturbance, growth_case.popularity_exponent);
    constexpr double max_bytes_per_invoker = 3000;
    EXPECT_LE(large_figures.at("module_memory") - small_figures.at("module_memory"),
              max_bytes_per_invoker * (large_fleet_size - small_fleet_size));
}

INSTANTIATE_TEST_SUITE_P(Cases, DecisionGrowth,
                         testing::Values(GrowthCase{"PopularFunctions", Disturbance::none, 1.4},
                                         GrowthCase{"ManyFunctions", Disturbance::none, 1.0},
                                         GrowthCase{"Restarts", Disturbance::restarts, 1.4},
                                         GrowthCase{"CapacityChanges", Disturbance::capacity_changes, 1.4}),
                         [](const auto& test_case) { return test_case.param.name; });

TEST(DecisionCounts, AreReproducible) {
    const auto first = measure_fleet(300), second = measure_fleet(300);
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
    for (const Measurement& measurement : measure_decisions(decision_case))
        figures[measurement.metric] = measurement.value;
    EXPECT_EQ(figures.at("functions_held"), 16'384);
}

TEST(ManyControllers, SampleInvokersLessAndSendMoreToDeadInvokerAsTheirNumberGrows) {
    ManyControllersCase controllers_case;
    controllers_case.fleet.invokers = 20;
    controllers_case.functions = 500;
    controllers_case.requests_per_s = 1000;
    controllers_case.length = 12s;
    std::map<int, std::map<std::string, double>> figures_by_controllers;
    for (const int controllers : {2, 20}) {
        controllers_case.controllers = controllers;
        for (const Measurement& measurement : measure_many_controllers(controllers_case))
            figures_by_controllers[controllers][measurement.metric] = measurement.value;
    }
    EXPECT_GT(figures_by_controllers[2]["samples_an_invoker_a_minute"],
              5 * figures_by_controllers[20]["samples_an_invoker_a_minute"]);
    EXPECT_GE(figures_by_controllers[20]["attempts_to_dead"], figures_by_controllers[2]["attempts_to_dead"]);
}

// ---------------------------------------------------------------- tests of plans

class ScaleFileTest : public testing::Test {
protected:
    std::string write_file(const std::string& text) const {
        const std::string file_name = testing::TempDir() + "/scale_files." + std::to_string(::getpid());
        std::ofstream(file_name) << text;
        return file_name;
    }
    std::string plan_error(const std::string& text) const {
        try {
            read_plan(write_file(text));
        } catch (const ConfigError& error) {
            return error.what();
        }
        return "none";
    }
    std::string results_error(const std::string& text) const {
        try {
            read_results(write_file(text));
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
        {"{ decisions: [{ name: 'a' }] }", "sizes: expected a non-empty array of numbers"},
        {"{ decisions: [{ name: 'a', sizes: [0] }] }", "sizes: expected each element to be from 1 to"},
        {"{ decisions: [{ name: 'a', sizes: [1e12] }] }", "sizes: expected each element to be from 1 to"},
        {"{ decisions: [{ name: 'a', sizes: [10], over: 'unknown' }] }", "over: expected one of"},
        {"{ decisions: [{ name: 'a', sizes: [10], runs: 1000 }] }", "runs: expected at most"},
        {"{ decisions: [{ name: 'a', sizes: [10], length: '5h' }] }", "length: expected more than 0s and at most"},
        {"{ decisions: [{ name: 'a', sizes: [10], exponent: -1 }] }", "exponent: found -1, expected at least 0"},
        {"{ decisions: [{ name: 'a', sizes: [10], disturbance: 'unknown' }] }", "disturbance"},
        {"{ platform: [{ name: 'a', sizes: [10], processes: 100000 }] }", "processes: expected at most"},
        {"{ }", "the plan has no measurements"},
    };
    for (const auto& [text, expected] : invalid_plans) {
        const std::string message = plan_error(text);
        EXPECT_NE(message.find(expected), std::string::npos) << text << " gave " << message;
        EXPECT_NE(message.find("scale_files."), std::string::npos) << message;
    }
}

TEST_F(ScaleFileTest, PlansOfRepositoryAreValid) {
    for (const char* plan_name : {"decisions", "hard-cases", "controllers", "sampling", "platform"})
        EXPECT_NO_THROW(read_plan(std::string(PLUMKEEL_PLANS) + "/" + plan_name + ".jsonnet")) << plan_name;
}

TEST_F(ScaleFileTest, CaseNeedingMoreThanMachineHasIsRejected) {
    DecisionCase decision_case;
    decision_case.fleet.invokers = 100'000;
    decision_case.fleet.max_instances_per_invoker = 10'000;
    try {
        require_resources("a case", resource_needs(decision_case));
        FAIL() << "a case that needs 32 GB was accepted";
    } catch (const ConfigError& error) {
        EXPECT_NE(std::string(error.what()).find("would need"), std::string::npos) << error.what();
    }
    PlatformCase watchers_case;
    watchers_case.watchers = 1'000'000;
    EXPECT_THROW(require_resources("a case", resource_needs(watchers_case)), ConfigError);
    EXPECT_NO_THROW(require_resources("a case", resource_needs(DecisionCase{})));
}

// ---------------------------------------------------------------- tests of results and slopes

TEST_F(ScaleFileTest, ResultsRoundTrip) {
    const ResultsFile written{
        "a machine", "abc", {{"decisions", "exponent 1.4", "invokers", 7200, 2, "module_memory", "bytes", 15964456}}};
    const std::string file_name = write_file("");
    write_results(file_name, written);
    const ResultsFile read = read_results(file_name);
    EXPECT_EQ(read.machine, "a machine");
    EXPECT_EQ(read.commit, "abc");
    ASSERT_EQ(read.rows.size(), 1u);
    EXPECT_EQ(read.rows[0].series, "exponent 1.4");
    EXPECT_EQ(read.rows[0].size, 7200);
    EXPECT_EQ(read.rows[0].run, 2);
    EXPECT_EQ(read.rows[0].value, 15964456);
}

TEST_F(ScaleFileTest, InvalidOrTruncatedResultsAreRejected) {
    const std::string file_name = write_file("");
    write_results(file_name,
                  {"m", "c", {{"d", "s", "invokers", 1, 0, "m", "u", 1}, {"d", "s", "invokers", 2, 0, "m", "u", 2}}});
    std::ifstream in(file_name);
    const std::string whole_file{std::istreambuf_iterator<char>(in), {}};
    EXPECT_EQ(results_error(whole_file), "none");
    for (std::size_t cut_position = 0; cut_position + 1 < whole_file.size(); ++cut_position)
        EXPECT_NE(results_error(whole_file.substr(0, cut_position)), "none") << "cut at " << cut_position;
    const auto results_error_with = [&](const std::string& replaced_text, const std::string& replacement) {
        std::string text = whole_file;
        return results_error(text.replace(text.find(replaced_text), replaced_text.size(), replacement));
    };
    EXPECT_NE(results_error_with("version 1", "version 2"), "none");
    EXPECT_NE(results_error_with("# rows: 2", "# rows: 3").find("states 3 rows"), std::string::npos);
    EXPECT_NE(results_error_with("invokers,1", "invokers,one").find("expected a number"), std::string::npos);
    EXPECT_NE(results_error_with(",m,u,1", ",m,u,1,9").find("columns"), std::string::npos);
    EXPECT_THROW(write_results(file_name, {"m", "c", {{"d", "s, t", "invokers", 1, 0, "m", "u", 1}}}), ResultsError);
}

TEST(Slopes, FitLineWithRangeAndExponent) {
    std::vector<Row> rows;
    for (int run = 0; run < 2; ++run)
        for (const double size : {10.0, 100.0, 1000.0})
            rows.push_back({"e", "s", "invokers", size, run, "m", "u", (run + 2) * size});
    rows.push_back({"e", "single size", "invokers", 10, 0, "m", "u", 1});
    const auto slopes = compute_slopes(rows);
    ASSERT_EQ(slopes.size(), 1u) << "a series with a single size has no slope";
    EXPECT_NEAR(slopes[0].slope, 2.5, 1e-9);
    EXPECT_NEAR(slopes[0].min_run_slope, 2, 1e-9);
    EXPECT_NEAR(slopes[0].max_run_slope, 3, 1e-9);
    EXPECT_NEAR(slopes[0].intercept, 0, 1e-6);
    EXPECT_GT(slopes[0].residual, 0);
    ASSERT_TRUE(slopes[0].growth_exponent);
    EXPECT_NEAR(*slopes[0].growth_exponent, 1, 1e-9);
    EXPECT_EQ(slopes[0].median_at_largest, 2500);
    EXPECT_EQ(slopes[0].runs, 2);
}

}  // namespace
}  // namespace plumkeel::scale
