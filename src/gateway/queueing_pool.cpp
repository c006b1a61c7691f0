#include "gateway/queueing_pool.hpp"

namespace plumkeel::gateway {

QueueingPool::QueueingPool(net::EventLoop& loop, const PoolConfig& config, net::Address address,
                           ConnectionCounts& counts)
    : ConnectionPool(loop), config_(config), address_(std::move(address)), counts_(counts) {}

bool QueueingPool::enqueue(const Call& call) {
    if (dispatch(call)) return true;
    if (queue_.size() >= config_.max_queued) return false;
    queue_.push_back(call);
    on_waiting();
    return true;
}

void QueueingPool::dispatch_queued() {
    while (!queue_.empty()) {
        const Call call = queue_.front();
        const bool may_leave = call->state() != UpstreamCall::State::ended && !is_send_overdue(*call);
        if (may_leave && !dispatch(call)) return on_waiting();
        queue_.pop_front();
        if (!may_leave) stop(*call, delivery::StopCause::cancelled_unsent);
    }
}

void QueueingPool::cancel_unsent() {
    std::vector<Call> unsent;
    for (const Call& call : queue_)
        if (!call->has_priority()) unsent.push_back(call);
    collect_unsent(unsent);
    for (const Call& call : unsent) stop(*call, delivery::StopCause::cancelled_unsent);
}

}  // namespace plumkeel::gateway
