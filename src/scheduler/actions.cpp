#include "scheduler/actions.hpp"

#include <algorithm>

namespace plumkeel {

bool keeps_contract(const Actions& actions) {
    const auto is_unsent = [&](const Attempt* attempt) {
        return std::ranges::find(actions.to_send, attempt) != actions.to_send.end();
    };
    return std::ranges::none_of(actions.to_cancel, is_unsent) &&
           std::ranges::none_of(actions.to_send,
                                [](const Attempt* attempt) { return attempt->request->is_completed(); });
}

}  // namespace plumkeel
