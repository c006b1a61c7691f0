#include "scheduler/load_tracker.hpp"

namespace plumkeel {
namespace {

constexpr double finish_share = 0.8;  // of a load's time, after which its requests stop waiting for its response

}  // namespace

void LoadTracker::begin(Function& function, Invoker& invoker, bool is_preload) {
    function.load = {&invoker, context_.now, is_preload};
    context_.functions.loading.set(function, true);
}

void LoadTracker::end(Function& function) {
    function.load.invoker = nullptr;
    context_.functions.loading.set(function, false);
}

void LoadTracker::finish_overdue(Function& function) {
    if (!function.load.invoker || function.load.is_preload) return;
    if (context_.now < expected_finish(function)) return;
    copies_.renew(function, copies_.get_or_add(function, *function.load.invoker));
    end(function);
}

Time LoadTracker::expected_finish(const Function& function) const {
    return function.load.started_at + from_seconds(finish_share * estimator_.load_time_s(function));
}

}  // namespace plumkeel
