// The small parts that decide something by themselves: the follower of the list, the door, settings,
// proofs.
#include <gtest/gtest.h>

#include <fstream>

#include "admission/admission.hpp"
#include "config/gateway_config.hpp"
#include "consul/blocking_query.hpp"
#include "gateway/delivery.hpp"
#include "web/protocol.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;
using consul::BlockingQuery;
using PollResult = BlockingQuery::PollResult;

std::string row(const std::string& id, const std::string& more = "", const std::string& status = "passing") {
    return R"({"Node":{"Address":"10.0.0.1","Meta":{"kind":"std","zone":"a"}},"Service":{"ID":")" + id +
           R"(","Port":80,"Meta":{)" + more + R"(}},"Checks":[{"Status":")" + status + R"("}]})";
}
std::string list(std::initializer_list<std::string> rows) {
    std::string text = "[";
    for (const auto& each : rows) text += (text.size() > 1 ? "," : "") + each;
    return text + "]";
}

class FollowerTest : public testing::Test {
protected:
    BlockingQuery::Step hear(std::uint64_t index, const std::string& body) {
        return it.answered(now += 1s, {200, index, body});
    }
    BlockingQuery it{10s, 1};
    Time now{};
};

TEST_F(FollowerTest, ReadsWhatTheEndpointTells) {
    const auto step = hear(7, list({row("x", R"("units":"2.5","cell":"4","start":"1700000000000","zone":"b")"),
                                    row("y", "", "critical")}));
    ASSERT_EQ(step.result, PollResult::updated);
    EXPECT_EQ(step.next.index, 7u);
    ASSERT_EQ(it.list().size(), 2u);
    const auto& x = it.list()[0];
    EXPECT_EQ(x.address, "10.0.0.1:80");
    EXPECT_EQ(x.zone, "b");
    EXPECT_EQ(x.type, "std");
    EXPECT_DOUBLE_EQ(x.capacity, 2.5);
    EXPECT_EQ(x.cell, 4);
    EXPECT_EQ(x.started_at, Time(1700000000000000));
    EXPECT_TRUE(x.ready);
    EXPECT_FALSE(it.list()[1].ready);
}

TEST_F(FollowerTest, TellsOnlyWhatChangedUnlessSomethingIsGone) {
    hear(1, list({row("x"), row("y")}));
    auto step = hear(2, list({row("x"), row("y", "", "critical")}));
    EXPECT_FALSE(step.complete);
    ASSERT_EQ(step.changed.size(), 1u);
    EXPECT_EQ(step.changed[0].name, "y");
    step = hear(3, list({row("x")}));
    EXPECT_TRUE(step.complete);
    EXPECT_EQ(step.changed.size(), 1u);
    EXPECT_EQ(hear(4, list({row("x")})).result, PollResult::unchanged);
}

TEST_F(FollowerTest, AnIdBackWithANewStartIsAChange) {
    hear(1, list({row("x", R"("start":"1000")")}));
    const auto step = hear(2, list({row("x", R"("start":"2000")")}));
    ASSERT_EQ(step.changed.size(), 1u);
    EXPECT_EQ(step.changed[0].started_at, Time(2s));
}

TEST_F(FollowerTest, AnIndexThatGoesBackIsAskedForAgainAndThenBelieved) {
    hear(50, list({row("x"), row("y")}));
    auto step = hear(3, list({row("x")}));
    EXPECT_EQ(step.result, PollResult::unconfirmed);
    EXPECT_EQ(step.next.index, 0u);
    EXPECT_EQ(it.list().size(), 2u);
    step = hear(3, list({row("x")}));
    EXPECT_EQ(step.result, PollResult::updated);
    EXPECT_EQ(step.next.index, 3u);
    EXPECT_EQ(it.list().size(), 1u);
}

TEST_F(FollowerTest, AListSuddenlyEmptyIsAskedForAgain) {
    hear(1, list({row("x")}));
    EXPECT_EQ(hear(2, "[]").result, PollResult::unconfirmed);
    EXPECT_EQ(it.list().size(), 1u);
    EXPECT_EQ(hear(3, list({row("x")})).result, PollResult::unchanged);  // it was not so
    EXPECT_EQ(hear(4, "[]").result, PollResult::unconfirmed);
    const auto step = hear(4, "[]");
    EXPECT_EQ(step.result, PollResult::updated);
    EXPECT_TRUE(step.complete);
    EXPECT_TRUE(it.list().empty());
}

TEST_F(FollowerTest, TheLastKnownListOutlivesItsSource) {
    hear(9, list({row("x")}));
    Time before{};
    for (int i = 0; i < 8; ++i) {
        const auto step = it.lost(now);
        EXPECT_EQ(step.next.index, 9u);
        EXPECT_LE(step.next.pause, 7500ms);
        before = std::max(before, step.next.pause);
    }
    EXPECT_GT(before, 1s);
    for (const char* nonsense : {"", "{}", "[", "null", "[[[["}) {
        EXPECT_EQ(hear(10, nonsense).result, PollResult::malformed);
        EXPECT_EQ(it.list().size(), 1u);
    }
    EXPECT_EQ(it.answered(now, {500, 10, "[]"}).result, PollResult::malformed);
    EXPECT_EQ(it.list().size(), 1u);
}

TEST_F(FollowerTest, OddEntriesAreLeftOutAndCounted) {
    hear(1, list({row("x"), row("x"), R"({"Service":{"ID":"z"}})", "3",
                  R"({"Service":{"ID":"q","Address":"h","Port":70000}})"}));
    EXPECT_EQ(it.list().size(), 1u);
    EXPECT_EQ(it.skipped(), 4u);
}

TEST_F(FollowerTest, NoIndexIsNeverWaitedOnAndNeverSpun) {
    const auto step = it.answered(now, {200, std::nullopt, list({row("x")})});
    EXPECT_EQ(step.next.index, 0u);
    EXPECT_GE(step.next.pause, 1s);
}

// ---------------------------------------------------------------- the door

TEST(Admission, CountsInAndOut) {
    AdmissionLimits rules;
    rules.max_requests = 1;
    rules.max_connections = 1;
    rules.max_memory_bytes = 10;
    Admission admission(rules);
    EXPECT_EQ(admission.admit_connection(), RejectionReason::none);
    EXPECT_EQ(admission.admit_connection(), RejectionReason::too_many_connections);
    admission.release_connection();
    EXPECT_EQ(admission.admit_connection(), RejectionReason::none);
    EXPECT_EQ(admission.admit_request(), RejectionReason::none);
    EXPECT_EQ(admission.admit_request(), RejectionReason::too_many_requests);
    EXPECT_EQ(admission.reserve(8), RejectionReason::none);
    EXPECT_EQ(admission.reserve(8), RejectionReason::no_memory);
    EXPECT_EQ(admission.reserved_bytes(), 8u);
    admission.release(8);
    EXPECT_EQ(admission.reserve(8), RejectionReason::none);
    admission.close();
    EXPECT_EQ(admission.admit_body(0), RejectionReason::closing);
}

TEST(Admission, TimeLeft) {
    AdmissionLimits rules;
    Admission strict(rules);
    Time left{};
    EXPECT_EQ(strict.parse_remaining("", left), RejectionReason::remaining_missing);
    for (const char* absurd : {"0", "-5", "1e3", "4000ms", "99999999999999999999", "9223372036854775807"})
        EXPECT_EQ(strict.parse_remaining(absurd, left), RejectionReason::remaining_invalid) << absurd;
    EXPECT_EQ(strict.parse_remaining("4000", left), RejectionReason::none);
    EXPECT_EQ(left, 4s);
    rules.default_remaining = 3s;
    EXPECT_EQ(Admission(rules).parse_remaining("", left), RejectionReason::none);
    EXPECT_EQ(left, 3s);
}

TEST(Admission, WithoutDescriptorsAcceptingDoesNotSpin) {
    Admission admission({});
    // Neither does it hold up for long who waits in the backlog: requests there have deadlines of a second.
    for (int i = 0; i < 20; ++i) {
        const Time pause = admission.accept_pause();
        EXPECT_LE(pause, 160ms);
        EXPECT_GE(pause, i < 3 ? 20ms : 160ms) << i;
    }
    EXPECT_EQ(admission.counted(RejectionReason::no_descriptors), 20u);
    admission.accepted();
    EXPECT_LT(admission.accept_pause(), 50ms);
}

TEST(Admission, APaceIsJudgedOverTheWholeBody) {
    Admission admission({});
    EXPECT_EQ(admission.check_body_rate(0s, 1s, 0), RejectionReason::none);
    EXPECT_EQ(admission.check_body_rate(0s, 3s, 100), RejectionReason::body_too_slow);
    EXPECT_EQ(admission.check_body_rate(0s, 3s, 5000), RejectionReason::none);
}

// ---------------------------------------------------------------- settings

class Settings : public testing::Test {
protected:
    GatewayConfig read(const std::string& text) {
        std::ofstream(file) << text;
        return load_config(file);
    }
    void complains(const std::string& text, const std::string& words) {
        try {
            read(text);
            FAIL() << "taken: " << text;
        } catch (const ConfigError& fault) {
            EXPECT_NE(std::string(fault.what()).find(words), std::string::npos) << fault.what();
            EXPECT_NE(std::string(fault.what()).find(file), std::string::npos) << fault.what();
        }
    }
    const std::string file = testing::TempDir() + "plumkeel_settings_" + std::to_string(::getpid()) + ".jsonnet";
    const std::string base =
        "{ list: { consul: '127.0.0.1:8500' }, use_cases: { p: { promised: '1s', repeat: 'replayable' } } }";
};

TEST_F(Settings, AreTemplates) {
    const GatewayConfig config =
        read("local b = " + base +
             "; b { use_cases+: { q: self.p { promised: '%dms' % (3 * 50) } }, tenants: { t: { share_per_s: 4 } } }");
    EXPECT_EQ(config.request_classes.at("q").latency_target, 150ms);
    EXPECT_EQ(config.tenants.at("t").quota_per_s, 4);
}

TEST_F(Settings, NameFileAndField) {
    complains("{", "jsonnet:1");
    complains(base + "{ lisen: 'x' }", "lisen: is not known here");
    complains(base + "{ door: { open_job: 3 } }", "door.open_job: is not known here");
    complains(base + "{ door: { open_jobs: 0 } }", "door.open_jobs: is below 1");
    complains(base + "{ door: { open_jobs: 1.5 } }", "door.open_jobs: is no whole number");
    complains(base + "{ listen: 'here' }", "listen: 'here' is no address");
    complains(base + "{ rulebook: { cold_for: 12 } }", "rulebook.cold_for: is no time");
    complains(base + "{ rulebook: { cold_for: '12 parsecs' } }", "rulebook.cold_for: '12 parsecs'");
    complains(base + "{ rulebook: { cold_share: 2 } }", "rulebook.cold_share: is not above 0");
    complains(base + "{ use_cases: {} }", "use_cases: is missing");
    complains(base + "{ use_cases+: { p+: { repeat: 'often' } } }", "use_cases.p.repeat: 'often' is none of");
    complains(base + "{ use_cases+: { p+: { repeat: 'referenced' } } }", "use_cases.p.remembered: is missing");
    complains(base + "{ list+: { fixed: [{ address: 'a:1' }] } }", "just one of them");
    complains(base + "{ allowances: { loads_on_demand: false } }", "nothing could ever be loaded");
    complains(base + "{ log: { level: 'loud' } }", "log.level: is none of");
}

// ---------------------------------------------------------------- proofs

TEST(Proof, OnlyTheInvokersWordOrAnUnwrittenByteProvesThatItNeverRan) {
    using namespace protocol;
    using namespace delivery;
    EXPECT_EQ(ending_of(503, "turned-away"), AttemptOutcome::rejected);
    EXPECT_EQ(ending_of(503, "not-loaded"), AttemptOutcome::load_failed);
    EXPECT_EQ(ending_of(503, ""), AttemptOutcome::failed);
    EXPECT_EQ(ending_of(503, "surely"), AttemptOutcome::failed);
    EXPECT_EQ(ending_of(200, ""), AttemptOutcome::succeeded);
    for (const StopCause cause :
         {StopCause::connection_lost, StopCause::timed_out, StopCause::cancelled, StopCause::cancelled_unsent}) {
        EXPECT_EQ(outcome_of(Progress::not_written, cause), AttemptOutcome::never_sent);
        const AttemptOutcome some = outcome_of(Progress::may_have_run, cause);
        EXPECT_TRUE(some == AttemptOutcome::connection_lost || some == AttemptOutcome::timed_out ||
                    some == AttemptOutcome::cancelled);
    }
    EXPECT_EQ(outcome_of(Progress::not_connected, StopCause::no_connection), AttemptOutcome::unreachable);
}

}  // namespace
}  // namespace plumkeel
