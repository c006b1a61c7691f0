#include "trace/action_records.hpp"

#include <fmt/format.h>

#include "trace/names.hpp"

namespace plumkeel::trace {
namespace {

std::string describe(const ActionsRecord::CompletedRequest& completed) {
    const std::string retry =
        completed.retry_after > Time{} ? fmt::format(", retry after {} ms", completed.retry_after.count() / 1000) : "";
    return fmt::format("request {} is {}{}", completed.request, name_of(completed.state), retry);
}

std::string describe(const ActionsRecord::SentAttempt& sent) {
    return fmt::format("sends attempt {} of request {} to invoker #{} with a timeout of {} ms", sent.attempt,
                       sent.request, sent.invoker, sent.timeout.count() / 1000);
}

}  // namespace

std::string describe(const ActionsRecord& actions) {
    std::string out;
    const auto add = [&](const std::string& clause) { out += (out.empty() ? "" : "; ") + clause; };
    for (const auto& each : actions.to_cancel)
        add(fmt::format("cancels attempt {} of request {}", each.attempt, each.request));
    for (const auto& each : actions.completed) add(describe(each));
    for (const auto& each : actions.to_send) add(describe(each));
    for (const std::uint64_t invoker : actions.to_probe) add(fmt::format("probes invoker #{}", invoker));
    for (const auto& each : actions.to_preload)
        add(fmt::format("preloads {} copies of function #{} at invoker #{}", each.copies, each.function, each.invoker));
    for (const std::uint64_t function : actions.released_functions) add(fmt::format("releases function #{}", function));
    if (actions.subscribe_endpoints) add("subscribes to the endpoints");
    add(fmt::format("wakes at {:.3f} s", static_cast<double>(actions.next_wake.count()) / 1e6));
    return out;
}

}  // namespace plumkeel::trace
