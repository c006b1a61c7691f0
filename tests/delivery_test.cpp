/// Outcomes of attempts, derived from the invoker's response and from how far the attempt got.
#include "gateway/delivery.hpp"

#include <gtest/gtest.h>

#include "web/protocol.hpp"

namespace plumkeel {
namespace {

TEST(Delivery, OnlyTheInvokersResponseOrAnUnwrittenByteProvesThatItNeverRan) {
    using namespace protocol;
    using namespace delivery;
    EXPECT_EQ(outcome_of(503, "turned-away"), AttemptOutcome::rejected);
    EXPECT_EQ(outcome_of(503, "not-loaded"), AttemptOutcome::load_failed);
    EXPECT_EQ(outcome_of(503, ""), AttemptOutcome::failed);
    EXPECT_EQ(outcome_of(503, "surely"), AttemptOutcome::failed);
    EXPECT_EQ(outcome_of(200, ""), AttemptOutcome::succeeded);
    for (const StopCause cause :
         {StopCause::connection_lost, StopCause::timed_out, StopCause::cancelled, StopCause::cancelled_unsent}) {
        EXPECT_EQ(outcome_of(Progress::not_written, cause), AttemptOutcome::never_sent);
        const AttemptOutcome outcome = outcome_of(Progress::may_have_run, cause);
        EXPECT_TRUE(outcome == AttemptOutcome::connection_lost || outcome == AttemptOutcome::timed_out ||
                    outcome == AttemptOutcome::cancelled);
    }
    EXPECT_EQ(outcome_of(Progress::not_connected, StopCause::no_connection), AttemptOutcome::unreachable);
}

}  // namespace
}  // namespace plumkeel
