// Asks the list source what the Follower wants asked, and hands on what it believes.
#pragma once

#include <functional>

#include "config/gateway_config.hpp"
#include "consul/blocking_query.hpp"
#include "log/log.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::consul {

class HealthWatcher {
public:
    using Told = std::function<void(const std::vector<Endpoint>& changed, bool complete)>;

    HealthWatcher(net::EventLoop& loop, const EndpointSource& source, std::string asker, Log& log, std::uint64_t seed,
                  Told told);
    void follow();  // until the world ends
    const BlockingQuery& follower() const { return follower_; }

private:
    struct Got {
        bool whole{};
        int status{};
        std::optional<std::uint64_t> index;
        std::string body;
    };
    net::Task<> run();
    net::Task<Got> ask(BlockingQuery::Poll ask);

    net::EventLoop& loop_;
    const EndpointSource source_;
    const std::string asker_;
    Log& log_;
    BlockingQuery follower_;
    Told told_;
};

}  // namespace plumkeel::consul
