#include "scheduler/parking.hpp"

#include <algorithm>

namespace plumkeel {
namespace {

using namespace std::chrono_literals;

// These values are specified in docs/design.md, steps 3 to 5.
constexpr std::size_t max_parked_requests = 1024;  // number of requests over all functions
constexpr Time parking_budget = 5s;                // time from the start of a function's backoff
constexpr Time initial_backoff = 100ms;
constexpr double backoff_growth = 1.1, backoff_jitter = 0.1;

}  // namespace

bool Parking::has_capacity() const {
    return lifecycle_.parked_count() < max_parked_requests;
}

void Parking::park(Request& request, DecisionReason reason) {
    if (!has_capacity() && request.state != RequestState::parked)
        return lifecycle_.reject_or_fail(request, DecisionReason::parking_full);
    Function& function = *request.function;
    lifecycle_.transition(request, RequestState::parked, reason);
    if (!function.parking.is_backoff_running) start(function);
    if (function.current_load.invoker && !function.current_load.is_preload) {
        const Time load_ends = load_tracker_.expected_finish(function);
        if (load_ends > context_.now) function.parking.retry_at = std::min(function.parking.retry_at, load_ends);
    }
    schedule(function);
}

void Parking::start(Function& function) {
    ParkingQueue& parking = function.parking;
    parking.is_backoff_running = true;
    context_.functions.with_parked_requests.set(function, true);
    parking.backoff_started_at = context_.now;
    parking.backoff = initial_backoff;
    parking.retry_at = context_.now + initial_backoff;
}

void Parking::stop(Function& function) {
    function.parking.is_backoff_running = false;
    context_.functions.with_parked_requests.set(function, false);
    context_.timers.cancel(function.parking.timer);
}

void Parking::schedule(Function& function) {
    ParkingQueue& parking = function.parking;
    context_.timers.set(parking.timer, std::min(parking.retry_at, parking.backoff_started_at + parking_budget),
                        {nullptr, &function});
}

bool Parking::is_budget_exceeded(const Function& function) const {
    return context_.now >= function.parking.backoff_started_at + parking_budget;
}

void Parking::advance_backoff(Function& function) {
    ParkingQueue& parking = function.parking;
    parking.backoff = from_seconds(in_seconds(parking.backoff) * backoff_growth);
    const double jitter = 1 + backoff_jitter * (2 * context_.random_unit() - 1);
    parking.retry_at = context_.now + from_seconds(in_seconds(parking.backoff) * jitter);
    schedule(function);
}

}  // namespace plumkeel
