#include "scheduler/load_tracker.hpp"

namespace plumkeel {
namespace {

/// A load that was started by an attempt is assumed to be finished after this share of the load time.
constexpr double assumed_finished_load_time_share = 0.8;

}  // namespace

void LoadTracker::begin(Function& function, Invoker& invoker, bool is_preload) {
    function.current_load = {&invoker, context_.now, is_preload};
    context_.functions.loading.set(function, true);
}

void LoadTracker::end(Function& function) {
    function.current_load.invoker = nullptr;
    context_.functions.loading.set(function, false);
}

void LoadTracker::finish_overdue(Function& function) {
    if (!function.current_load.invoker || function.current_load.is_preload) return;
    if (context_.now < expected_finish(function)) return;
    copies_.extend_expiry(function, copies_.get_or_add(function, *function.current_load.invoker));
    end(function);
}

Time LoadTracker::expected_finish(const Function& function) const {
    return function.current_load.started_at +
           from_seconds(assumed_finished_load_time_share * load_estimator_.load_time_s(function));
}

}  // namespace plumkeel
