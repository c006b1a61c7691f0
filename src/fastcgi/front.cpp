#include "fastcgi/front.hpp"

#include <algorithm>

#include "fastcgi/visit.hpp"

namespace plumkeel::fastcgi {

using namespace std::chrono_literals;

Front::Front(gateway::Gateway& gateway, Paths paths) : gateway_(gateway), paths_(std::move(paths)) {}
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
    Door& door = gateway_.door();
    for (;;) {
        auto accepted = co_await listener->accept();
        if (accepted.error == net::asio::error::operation_aborted) co_return;
        if (accepted.error) {
            // Nearly always for want of descriptors. The connection stays in the backlog, so accepting at
            // once again would spin.
            gateway_.log().line(Log::Level::error, "accept_broke", {{"why", accepted.error.message()}});
            make_room();
            co_await gateway_.world().sleep(door.no_descriptors());
            continue;
        }
        door.accepted();
        Objection objection = door.connection_came();
        if (objection != Objection::none) {
            // The place is free only once the other has gone: this one may stand beside it for that long.
            door.count(objection);
            if (!make_room()) {
                accepted.stream->close();
                continue;
            }
            door.connection_came_over();
        }
        const auto visit = std::make_shared<Visit>(*this, ++visit_numbers_, std::move(accepted.stream));
        visits_[visit->number()] = visit;
        visit->start();
    }
}

bool Front::make_room() {
    std::shared_ptr<Visit> chosen;
    for (const auto& [number, visit] : visits_) {
        if (!visit->idle()) continue;
        if (!visit->spoke()) {
            chosen = visit;
            break;
        }
        if (!chosen || visit->last() < chosen->last()) chosen = visit;
    }
    if (!chosen) return false;
    chosen->leave();
    return true;
}

void Front::close(std::function<void()> then) {
    then_ = std::move(then);
    if (listener_) listener_->close();
    gateway_.close([this] {
        answered_all_ = true;
        see_whether_done();
    });
}

void Front::see_whether_done() {
    if (!then_ || !answered_all_) return;
    for (const auto& [number, visit] : std::map(visits_))
        if (visit->idle()) visit->leave();
    if (std::any_of(visits_.begin(), visits_.end(), [](const auto& each) { return each.second->busy(); })) {
        gateway_.world().at(gateway_.world().now() + 50ms, [this] { see_whether_done(); });
        return;
    }
    gateway_.world().at(gateway_.world().now(), std::exchange(then_, nullptr));
}

void Front::visit_gone(const std::shared_ptr<Visit>& visit) {
    if (visits_.erase(visit->number())) gateway_.door().connection_left();
}

}  // namespace plumkeel::fastcgi
