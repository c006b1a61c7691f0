#include "invoker_protocol/connection_budget.hpp"

#include <algorithm>

#include "invoker_protocol/connection_pool.hpp"
#include "invoker_protocol/invoker_connection.hpp"

namespace plumkeel::invoker_protocol {

bool ConnectionBudget::evict() {
    if (idle_.empty()) return false;
    idle_.front()->close();
    return true;
}

void ConnectionBudget::on_closed() {
    --open_;
    schedule_waiting();
}

void ConnectionBudget::on_idle(InvokerConnection& connection) {
    on_busy(connection);
    idle_.push_back(&connection);
    schedule_waiting();
}

void ConnectionBudget::wait(ConnectionPool& pool) {
    if (std::find(waiting_.begin(), waiting_.end(), &pool) == waiting_.end()) waiting_.push_back(&pool);
}

// In the next turn of the loop, since whoever frees a connection may be in the middle of its own work.
void ConnectionBudget::schedule_waiting() {
    if (waiting_.empty() || serving_timer_.second) return;
    serving_timer_ = loop_.call_at(loop_.now(), [this] {
        serving_timer_ = {};
        for (std::size_t turns = waiting_.size(); turns > 0 && !waiting_.empty(); --turns) {
            ConnectionPool* const next = waiting_.front();
            waiting_.pop_front();
            next->on_connection_free();
        }
    });
}

}  // namespace plumkeel::invoker_protocol
