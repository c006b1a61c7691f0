// Where clients connect: accepts FastCGI connections within the door's bounds. When they are used up, a connection
// that never said anything goes first, then the one that has idled longest, then the new one.
#pragma once

#include <map>
#include <optional>
#include <unordered_set>

#include "gateway/gateway.hpp"

namespace plumkeel::fastcgi {

class Visit;

struct Paths {
    std::string health = "/_health", jobs = "/invoke/";
};

class Front {
public:
    explicit Front(gateway::Gateway& gateway, Paths paths = {});
    ~Front();

    net::Error open();
    // Accepts no more connections and takes no more jobs; calls `then` once every open job has its answer and every
    // answer has left.
    void close(std::function<void()> then);
    net::Address address() const { return listener_->address(); }
    std::size_t connections() const { return visits_.size(); }

    gateway::Gateway& gateway() { return gateway_; }
    const Paths& paths() const { return paths_; }
    void visit_gone(const std::shared_ptr<Visit>& visit);
    // The names of open jobs: a second one under a name that is open is not taken.
    std::unordered_set<std::string>& names() { return names_; }

private:
    net::Task<> accept();
    // Waits until a connection has left, or for so long.
    net::Task<> visit_leaves(net::Time at_most);
    net::Task<> make_place();
    void note_backlog(net::Time waited);
    net::Time waited_unaccepted() const;
    std::shared_ptr<Visit> least_needed() const;
    void shut(int looks);
    void see_whether_done();

    gateway::Gateway& gateway_;
    const Paths paths_;
    std::shared_ptr<net::Listener> listener_;
    std::map<std::uint64_t, std::shared_ptr<Visit>> visits_;  // in the order in which they came
    std::unordered_set<std::string> names_;
    std::uint64_t visit_numbers_{};
    int waiting_for_place_{};  // connections that are accepted and not read yet
    std::optional<net::Time> backlog_since_;
    bool answered_all_{};
    net::Signal visit_left_;
    std::function<void()> then_;
};

}  // namespace plumkeel::fastcgi
