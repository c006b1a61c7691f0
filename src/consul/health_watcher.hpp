/// Polls Consul as a `BlockingQuery` decides, and reports changes of the list of invokers.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "config/gateway_config.hpp"
#include "consul/blocking_query.hpp"
#include "log/log.hpp"
#include "net/event_loop.hpp"

namespace plumkeel::consul {

class HealthWatcher {
public:
    /// Called when the list changes. If `is_complete`, `changed` is the whole list, otherwise only the endpoints that
    /// differ.
    using OnChange = std::function<void(const std::vector<Endpoint>& changed, bool is_complete)>;

    /// `controller` is sent with each poll as the name of this controller. `seed` is for the random delays of retries.
    HealthWatcher(net::EventLoop& loop, const EndpointSource& source, std::string controller, Log& log,
                  std::uint64_t seed, OnChange on_change);

    /// Polls until the event loop ends.
    void start();
    const BlockingQuery& query() const { return query_; }

private:
    struct Response {
        int status{};
        std::optional<std::uint64_t> index;
        std::string body;
    };
    net::Task<> run();
    net::Task<std::optional<Response>> send(BlockingQuery::Poll poll);
    void apply(const BlockingQuery::Step& step, const std::optional<Response>& response);

    net::EventLoop& loop_;
    const EndpointSource source_;
    const std::string controller_;
    Log& log_;
    BlockingQuery query_;
    const OnChange on_change_;
};

}  // namespace plumkeel::consul
