#include "invoker_protocol/connection_budget.hpp"

#include <algorithm>

#include "invoker_protocol/connection_pool.hpp"
#include "invoker_protocol/invoker_connection.hpp"

namespace plumkeel::invoker_protocol {

bool ConnectionBudget::close_longest_idle() {
    if (idle_connections_.empty()) return false;
    idle_connections_.front()->close();
    return true;
}

void ConnectionBudget::on_closed() {
    --open_count_;
    schedule_waiting_pools();
}

void ConnectionBudget::on_idle(InvokerConnection& connection) {
    on_busy(connection);
    idle_connections_.push_back(&connection);
    schedule_waiting_pools();
}

void ConnectionBudget::add_waiting_pool(ConnectionPool& pool) {
    if (std::find(waiting_pools_.begin(), waiting_pools_.end(), &pool) == waiting_pools_.end())
        waiting_pools_.push_back(&pool);
}

// Serves the waiting pools in the next loop iteration: the caller may be in the middle of changing its own state.
void ConnectionBudget::schedule_waiting_pools() {
    if (waiting_pools_.empty() || waiting_pools_timer_.second) return;
    waiting_pools_timer_ = loop_.call_at(loop_.now(), [this] {
        waiting_pools_timer_ = {};
        for (std::size_t remaining = waiting_pools_.size(); remaining > 0 && !waiting_pools_.empty(); --remaining) {
            ConnectionPool* const next = waiting_pools_.front();
            waiting_pools_.pop_front();
            next->on_connection_free();
        }
    });
}

}  // namespace plumkeel::invoker_protocol
