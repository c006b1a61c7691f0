// The small parts that decide something by themselves: the door, load reports, proofs, the logs'
// trickle; and the seam, by the streams in memory.
#include <gtest/gtest.h>

#include "admission/admission.hpp"
#include "gateway/delivery.hpp"
#include "web/protocol.hpp"

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

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
