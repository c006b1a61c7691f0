/// Admission: limits, the parsing of the remaining time, and the rate of bodies.
#include "admission/admission.hpp"

#include <gtest/gtest.h>

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

TEST(Admission, ReservesAndReleasesUpToItsLimits) {
    AdmissionLimits limits;
    limits.max_requests = 1;
    limits.max_connections = 1;
    limits.max_memory_bytes = 10;
    Admission admission(limits);
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

TEST(Admission, ParsesTheRemainingTime) {
    AdmissionLimits limits;
    Admission strict(limits);
    Time remaining{};
    EXPECT_EQ(strict.parse_remaining_time("", remaining), RejectionReason::remaining_time_missing);
    for (const char* invalid : {"0", "-5", "1e3", "4000ms", "99999999999999999999", "9223372036854775807"})
        EXPECT_EQ(strict.parse_remaining_time(invalid, remaining), RejectionReason::remaining_time_invalid) << invalid;
    EXPECT_EQ(strict.parse_remaining_time("4000", remaining), RejectionReason::none);
    EXPECT_EQ(remaining, 4s);
    limits.default_remaining_time = 3s;
    EXPECT_EQ(Admission(limits).parse_remaining_time("", remaining), RejectionReason::none);
    EXPECT_EQ(remaining, 3s);
}

TEST(Admission, PausesAcceptingWithoutDescriptors) {
    Admission admission({});
    // The pause must stay short, since requests in the backlog have deadlines of a second.
    for (int i = 0; i < 20; ++i) {
        const Time pause = admission.accept_pause();
        EXPECT_LE(pause, 160ms);
        EXPECT_GE(pause, i < 3 ? 20ms : 160ms) << i;
    }
    EXPECT_EQ(admission.rejection_count(RejectionReason::no_descriptors), 20u);
    admission.accepted();
    EXPECT_LT(admission.accept_pause(), 50ms);
}

TEST(Admission, JudgesTheRateOfTheWholeBody) {
    Admission admission({});
    EXPECT_EQ(admission.check_body_rate(0s, 1s, 0), RejectionReason::none);
    EXPECT_EQ(admission.check_body_rate(0s, 3s, 100), RejectionReason::body_too_slow);
    EXPECT_EQ(admission.check_body_rate(0s, 3s, 5000), RejectionReason::none);
}

}  // namespace
}  // namespace plumkeel
