/// Tests that the auditor finds each kind of violation in handwritten records, and none where the rules are kept.
#include "emulator/audit/auditor.hpp"

#include <gtest/gtest.h>

namespace plumkeel::emulator {
namespace {

namespace json = boost::json;

class AuditorTest : public testing::Test {
protected:
    // Each request class is named after its idempotency.
    AuditorTest() {
        rules.max_attempts = 2;
        rules.request_classes["idempotent"] = {Idempotency::idempotent, DeduplicationScope::global, 0};
        rules.request_classes["deduplicated"] = {Idempotency::deduplicated, DeduplicationScope::zone, 5'000'000};
        rules.request_classes["at_most_once"] = {Idempotency::at_most_once, DeduplicationScope::global, 0};
        rules.locations = {{"i1", {"a", 0}}, {"i2", {"a", 0}}, {"i3", {"b", 1}}};
    }

    void add_record(const std::string& source, const std::string& process, const std::string& line) {
        records.emplace_back(source, process, json::parse(line).as_object());
    }

    // Records that a client sent a request to the controller at address "A".
    void add_client_request(int id, std::int64_t ms, const std::string& request_class) {
        add_record("clients", "c",
                   json::serialize(json::object{{"t", ms * 1000},
                                                {"e", "sent"},
                                                {"id", id},
                                                {"origin", "o" + std::to_string(id)},
                                                {"try", 0},
                                                {"to", "A"},
                                                {"use", request_class},
                                                {"left_us", 4'000'000},
                                                {"promised_us", 1'500'000}}));
    }

    // Records the outcome of the request that add_client_request(id, ...) recorded. `request` is the number that the
    // controller gave to the request; empty: no controller accepted it.
    void add_client_outcome(int id, std::int64_t ms, const std::string& outcome, const std::string& request,
                            int attempts) {
        add_record("clients", "c",
                   json::serialize(json::object{{"t", ms * 1000},
                                                {"e", "answer"},
                                                {"id", id},
                                                {"origin", "o" + std::to_string(id)},
                                                {"outcome", outcome},
                                                {"controller", "k/1"},
                                                {"job", request},
                                                {"hops", std::to_string(attempts)}}));
    }

    /// An event that an invoker recorded for an attempt.
    struct InvokerEvent {
        std::string invoker;
        std::int64_t ms{};
        std::string event, request_class;
        int attempt{};
        std::string result = "", request = "1", origin = "o1";
    };
    void add_invoker_event(const InvokerEvent& record) {
        json::object line{{"t", record.ms * 1000},
                          {"e", record.event},
                          {"controller", "k/1"},
                          {"job", record.request},
                          {"hop", std::to_string(record.attempt)},
                          {"function", "f"},
                          {"use", record.request_class},
                          {"origin", record.origin}};
        if (!record.result.empty()) line["word"] = record.result;
        add_record("invoker", record.invoker, json::serialize(line));
    }

    // Records a request whose first attempt succeeded at invoker i1.
    void add_successful_request(int id, std::int64_t ms, const std::string& request_class = "idempotent") {
        const std::string request = std::to_string(id), origin = "o" + request;
        add_client_request(id, ms, request_class);
        add_invoker_event({"i1", ms + 1, "hop", request_class, 0, "", request, origin});
        add_invoker_event({"i1", ms + 2, "run", request_class, 0, "", request, origin});
        add_invoker_event({"i1", ms + 100, "answer", request_class, 0, "honoured", request, origin});
        add_client_outcome(id, ms + 101, "honoured", request, 1);
    }

    // Records a first attempt at invoker i1 that ended at 50 ms without an answer. `event` states how, for example
    // "cut" for a closed connection.
    void add_unanswered_attempt(const std::string& request_class, const std::string& event) {
        add_client_request(1, 0, request_class);
        add_invoker_event({"i1", 1, "hop", request_class, 0});
        add_invoker_event({"i1", 50, event, request_class, 0});
    }

    void add_consul_answer(std::int64_t ms, const std::string& endpoints) {
        add_record("list", "l",
                   R"({"t":)" + std::to_string(ms * 1000) + R"(,"e":"told","to":"k/1","list":)" + endpoints + "}");
    }

    void add_preload(std::int64_t ms, const std::string& function) {
        add_record("invoker", "i1",
                   R"({"t":)" + std::to_string(ms * 1000) + R"(,"e":"order","controller":"k/1","function":")" +
                       function + R"(","copies":1})");
    }

    void add_slow_start() {
        add_record("invoker", "i1",
                   R"({"t":0,"e":"start","cold":true,"capacity":1,"cold_share":0.2,"cold_us":10000000,)"
                   R"("multiple":2,"span_us":2000000,"mean_work_ms":100})");
    }

    Verdict judge() {
        Auditor auditor(rules);
        for (const auto& [source, process, line] : records) auditor.read(source, process, line);
        return auditor.judge();
    }

    void expect_violation(Rule rule, const std::string& description) {
        const Verdict verdict = judge();
        ASSERT_FALSE(verdict.violations.empty()) << "the auditor found no violation";
        for (const Violation& violation : verdict.violations)
            if (violation.rule == rule && violation.description.find(description) != std::string::npos) return;
        FAIL() << "no such violation; the first one found: " << rule_name(verdict.violations[0].rule) << ": "
               << verdict.violations[0].description;
    }

    DeploymentRules rules;
    std::vector<std::tuple<std::string, std::string, json::object>> records;
};

TEST_F(AuditorTest, CleanScenarioHasNoViolation) {
    add_successful_request(1, 0);
    add_successful_request(2, 10, "deduplicated");
    add_successful_request(3, 20, "at_most_once");
    const Verdict verdict = judge();
    EXPECT_EQ(verdict.summary(), "verdict: rules kept; requests 3, succeeded 3, rejected 0, failed 0, late 0");
}

TEST_F(AuditorTest, FindsMissingAnswer) {
    add_client_request(1, 0, "idempotent");
    expect_violation(Rule::every_request_answered, "no answer and no other outcome was recorded");
}

TEST_F(AuditorTest, FindsConnectionCutByRunningController) {
    add_client_request(1, 0, "idempotent");
    add_client_outcome(1, 50, "cut", "", 0);
    expect_violation(Rule::every_request_answered, "the controller was neither killed nor frozen");
}

TEST_F(AuditorTest, ExcusesConnectionCutByKilledController) {
    add_client_request(1, 0, "idempotent");
    add_record("scenario", "scenario", R"({"t":40000,"e":"controller_killed","address":"A","us":5000})");
    add_client_outcome(1, 50, "cut", "", 0);
    EXPECT_TRUE(judge().violations.empty());
}

TEST_F(AuditorTest, FindsSecondAnswer) {
    add_successful_request(1, 0);
    add_client_outcome(1, 150, "bounced", "1", 1);
    expect_violation(Rule::every_request_answered, "answered twice");
}

TEST_F(AuditorTest, FindsAnswerAfterDeadline) {
    add_client_request(1, 0, "idempotent");
    add_client_outcome(1, 4200, "bounced", "1", 0);
    expect_violation(Rule::every_request_answered, "after its deadline");
}

TEST_F(AuditorTest, FindsAttemptAfterFinalAnswer) {
    add_successful_request(1, 0);
    add_invoker_event({"i2", 400, "hop", "idempotent", 1});
    expect_violation(Rule::every_request_answered, "after the final answer");
}

TEST_F(AuditorTest, FrozenControllerMayAnswerAfterItResumes) {
    add_client_request(1, 0, "idempotent");
    add_client_outcome(1, 4290, "bounced", "1", 0);
    add_record("scenario", "scenario", R"({"t":4300000,"e":"controller_frozen","address":"A","us":400000})");
    EXPECT_TRUE(judge().violations.empty());
}

TEST_F(AuditorTest, FindsSecondRunOfAtMostOnceRequest) {
    add_successful_request(1, 0, "at_most_once");
    add_invoker_event({"i2", 500, "run", "at_most_once", 0, "", "9"});
    expect_violation(Rule::no_duplicate_effect, "at-most-once o1 ran at i1 and again at i2");
}

TEST_F(AuditorTest, FindsAtMostOnceAttemptAfterOneThatMayHaveRun) {
    add_unanswered_attempt("at_most_once", "cut");
    add_invoker_event({"i2", 150, "hop", "at_most_once", 1});
    add_client_outcome(1, 200, "written-off", "1", 2);
    expect_violation(Rule::no_duplicate_effect, "may have run");
}

TEST_F(AuditorTest, AllowsAtMostOnceAttemptAfterRejectedOne) {
    add_client_request(1, 0, "at_most_once");
    add_invoker_event({"i1", 1, "hop", "at_most_once", 0});
    add_invoker_event({"i1", 2, "answer", "at_most_once", 0, "turned-away"});
    add_invoker_event({"i2", 150, "hop", "at_most_once", 1});
    add_invoker_event({"i2", 151, "run", "at_most_once", 1});
    add_invoker_event({"i2", 180, "answer", "at_most_once", 1, "honoured"});
    add_client_outcome(1, 200, "honoured", "1", 2);
    EXPECT_TRUE(judge().violations.empty());
}

TEST_F(AuditorTest, FindsRejectionOfRequestThatMayHaveRun) {
    add_unanswered_attempt("at_most_once", "gone");
    add_client_outcome(1, 200, "bounced", "1", 1);
    expect_violation(Rule::no_duplicate_effect, "the request was rejected though");
}

TEST_F(AuditorTest, FindsDeduplicatedAttemptOutsideScope) {
    add_unanswered_attempt("deduplicated", "cut");
    add_invoker_event({"i3", 150, "hop", "deduplicated", 1});
    add_client_outcome(1, 200, "honoured", "1", 2);
    expect_violation(Rule::no_duplicate_effect, "outside the deduplication scope of i1");
}

TEST_F(AuditorTest, FindsDeduplicatedAttemptAfterKeyExpired) {
    rules.request_classes["deduplicated"].deduplication_window_us = 100'000;
    add_unanswered_attempt("deduplicated", "cut");
    add_invoker_event({"i2", 350, "hop", "deduplicated", 1});
    add_client_outcome(1, 400, "honoured", "1", 2);
    expect_violation(Rule::no_duplicate_effect, "expired");
}

TEST_F(AuditorTest, FindsDeduplicatedRunOutsideScope) {
    add_successful_request(1, 0, "deduplicated");
    add_invoker_event({"i3", 900, "run", "deduplicated", 0, "", "7"});
    expect_violation(Rule::no_duplicate_effect, "outside its deduplication scope");
}

TEST_F(AuditorTest, FindsTooManyAttempts) {
    add_client_request(1, 0, "idempotent");
    for (int attempt = 0; attempt < 3; ++attempt) add_invoker_event({"i1", 10 * attempt, "hop", "idempotent", attempt});
    add_client_outcome(1, 100, "honoured", "1", 3);
    expect_violation(Rule::attempt_limits, "3 attempts");
}

TEST_F(AuditorTest, FindsConcurrentAttemptsWithoutHedging) {
    rules.hedging = false;
    add_client_request(1, 0, "idempotent");
    add_invoker_event({"i1", 1, "hop", "idempotent", 0});
    add_invoker_event({"i2", 200, "hop", "idempotent", 1});
    add_invoker_event({"i1", 500, "gone", "idempotent", 0});
    add_client_outcome(1, 600, "honoured", "1", 2);
    expect_violation(Rule::attempt_limits, "while attempt 0 at i1 was in flight");
}

TEST_F(AuditorTest, FindsAttemptAfterDrainGrace) {
    add_consul_answer(0, R"([["i1","ready",0]])");
    add_consul_answer(1, R"([["i1","drains",0]])");
    add_successful_request(1, 2500);
    expect_violation(Rule::drain_grace, "after the end of its drain grace period");
}

TEST_F(AuditorTest, FindsAttemptAtInvokerNoLongerListed) {
    add_consul_answer(0, R"([["i1","ready",0]])");
    add_consul_answer(1, "[]");
    add_successful_request(1, 2500);
    expect_violation(Rule::drain_grace, "after the end of its drain grace period");
}

TEST_F(AuditorTest, FindsPreloadAfterDrainGrace) {
    add_consul_answer(0, R"([["i1","drains",0]])");
    add_preload(2500, "f");
    expect_violation(Rule::drain_grace, "a preload");
}

TEST_F(AuditorTest, AllowsAttemptsWithinDrainGraceAndAfterReturn) {
    add_consul_answer(0, R"([["i1","drains",0]])");
    add_successful_request(1, 1500);
    add_consul_answer(3000, R"([["i1","ready",5]])");
    add_successful_request(2, 3500);
    EXPECT_TRUE(judge().violations.empty());
}

TEST_F(AuditorTest, FindsOverloadOfStartingInvoker) {
    add_slow_start();
    for (int i = 0; i < 20; ++i) add_successful_request(i, 100 + i);
    expect_violation(Rule::slow_start, "of its slow start budget");
}

TEST_F(AuditorTest, FindsInvokerThatFailedUnderLoad) {
    add_slow_start();
    add_record("invoker", "i1", R"({"t":1000,"e":"fell"})");
    expect_violation(Rule::slow_start, "failed because it was overloaded");
}

TEST_F(AuditorTest, FindsPreloadsBeyondLoadBudget) {
    rules.load_window_us = 5'000'000;
    rules.free_loads = 1;
    rules.loads_per_request = 0.5;
    add_record("scenario", "scenario", R"({"t":0,"e":"controller_started","name":"k","address":"A"})");
    add_successful_request(1, 0);
    add_successful_request(2, 10);
    add_preload(1000, "f");
    add_preload(1100, "g");
    EXPECT_TRUE(judge().violations.empty());
    add_preload(1200, "h");
    expect_violation(Rule::load_budget, "3 preloads in the load window, 2.0 allowed");
}

}  // namespace
}  // namespace plumkeel::emulator
