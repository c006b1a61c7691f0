#include "fastcgi/front.hpp"

#include <algorithm>

#include "fastcgi/visit.hpp"

namespace plumkeel::fastcgi {

using namespace std::chrono_literals;

constexpr std::size_t most_over = 8;  // connections beyond the bound, while those in whose place they stand take leave
constexpr auto first_word = 100ms;    // from a connection's coming up to the first bytes on it
constexpr auto half_message = 300ms;  // a client that is not slow on purpose sends a message in far less
constexpr auto place_wait = 100ms;    // between looks for a connection that can make way
constexpr int most_looks = 100;       // at what came before the door closes: who sends without end is not waited for

Front::Front(gateway::Gateway& gateway, Paths paths)
    : gateway_(gateway), paths_(std::move(paths)), visit_left_(gateway.world()) {}
Front::~Front() = default;

net::Error Front::open() {
    auto listened = gateway_.world().listen(*net::Address::parse(gateway_.charter().listen));
    if (listened.error) return listened.error;
    listener_ = std::move(listened.listener);
    gateway_.world().spawn(accept());
    return {};
}

net::Task<> Front::accept() {
    const auto listener = listener_;
    Admission& admission = gateway_.admission();
    for (;;) {
        if (!listener->waiting()) backlog_since_.reset();
        auto accepted = co_await listener->accept();
        note_backlog(gateway_.waited_unread());
        if (accepted.error == net::asio::error::operation_aborted) co_return;
        if (accepted.error) {
            // The connection stays in the backlog, so accepting at once again would spin: the next try comes when a
            // connection has left, or after a growing pause. Only where this process has used its descriptors up does it
            // help that an idle client goes (accept(2): EMFILE).
            gateway_.log().line(Log::Level::error, "accept_broke", {{"why", accepted.error.message()}});
            const auto chosen = accepted.error == net::asio::error::no_descriptors ? least_needed() : nullptr;
            if (chosen) chosen->leave_at_once();
            co_await visit_leaves(admission.accept_pause());
            continue;
        }
        admission.accepted();
        if (const Objection objection = admission.connection_came(); objection != Objection::none) {
            admission.count(objection);
            co_await make_place();
            admission.connection_came_over();
        }
        const auto visit = std::make_shared<Visit>(*this, ++visit_numbers_, std::move(accepted.stream), waited_unaccepted());
        visits_[visit->number()] = visit;
        visit->start();
    }
}

// Connections may have stood in the backlog for so long, and longer: while this thread stood still or nothing was accepted.
void Front::note_backlog(net::Time waited) {
    if (waited > net::Time{} && !backlog_since_) backlog_since_ = gateway_.world().now() - waited;
}

net::Time Front::waited_unaccepted() const {
    return backlog_since_ ? gateway_.world().now() - *backlog_since_ : net::Time{};
}

net::Task<> Front::visit_leaves(net::Time at_most) {
    note_backlog(net::Time(1));
    auto ticket = gateway_.world().at(gateway_.world().now() + at_most, [this] { visit_left_.fire(); });
    co_await visit_left_.wait();
    gateway_.world().drop(ticket);
}

// For a connection that has been accepted, and on which a request may have come: it is never closed unheard. A place is
// free only once another connection has gone; this one may stand beside it for that long. More than a few such would
// together cost the board its descriptor, so their farewell is cut short. Where all are busy it waits for the first that
// is not; no further one is accepted meanwhile.
net::Task<> Front::make_place() {
    const Admission& admission = gateway_.admission();
    const std::size_t most = admission.rules().connections + most_over;
    ++waiting_for_place_;
    while (admission.connections() >= admission.rules().connections) {
        if (const auto chosen = least_needed()) {
            if (admission.connections() < most)
                chosen->leave();
            else
                chosen->leave_at_once();
            break;
        }
        if (admission.connections() < most) break;
        co_await visit_leaves(place_wait);
    }
    --waiting_for_place_;
}

// The one to go when places are short; null where none may. One whose client has said something that is not read yet
// is not idle.
std::shared_ptr<Visit> Front::least_needed() const {
    std::shared_ptr<Visit> chosen, stuck;
    for (const auto& [number, visit] : visits_) {
        if (!stuck && visit->unfinished_for() > half_message && !visit->unread()) stuck = visit;
        if (!visit->idle() || visit->unread()) continue;
        if (!visit->spoke()) {
            // What it came to say may be on its way.
            if (gateway_.world().now() - visit->last() < first_word) continue;
            chosen = visit;
            break;
        }
        if (!chosen || visit->last() < chosen->last()) chosen = visit;
    }
    return chosen ? chosen : stuck;
}

void Front::close(std::function<void()> then) {
    then_ = std::move(then);
    shut(most_looks);
}

// What came before the door closes is owed an answer, also where this process has not come to read it: connections
// in the backlog, and jobs in the buffers of sockets.
void Front::shut(int looks) {
    const bool owed = waiting_for_place_ > 0 || (listener_ && listener_->waiting()) ||
                      std::any_of(visits_.begin(), visits_.end(), [](const auto& each) { return each.second->unread(); });
    if (owed && looks > 0) {
        gateway_.world().at(gateway_.world().now() + 1ms, [this, looks] { shut(looks - 1); });
        return;
    }
    if (listener_) listener_->close();
    gateway_.close([this] {
        answered_all_ = true;
        see_whether_done();
    });
}

void Front::see_whether_done() {
    if (!then_ || !answered_all_) return;
    for (const auto& [number, visit] : std::map(visits_))
        if (visit->idle() && !visit->unread()) visit->leave();
    // Also those that only linger: an end of the process resets what its client has not read yet.
    if (!visits_.empty()) {
        gateway_.world().at(gateway_.world().now() + 20ms, [this] { see_whether_done(); });
        return;
    }
    gateway_.world().at(gateway_.world().now(), std::exchange(then_, nullptr));
}

void Front::visit_gone(const std::shared_ptr<Visit>& visit) {
    if (visits_.erase(visit->number())) gateway_.admission().connection_left();
    visit_left_.fire();
}

}  // namespace plumkeel::fastcgi
