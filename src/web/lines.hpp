// The connections to one invoker over HTTP: kept alive, capped, one errand at a time on each. Calling a hop off
// closes its connection. Once a byte of a hop was handed over it may have run.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "charter/charter.hpp"
#include "gateway/edges.hpp"
#include "net/limit.hpp"

namespace plumkeel::web {

using gateway::Errand;
using gateway::Outcome;

class Line;

class Lines : public gateway::Lines {
public:
    // `teller`: how the controller is named to invokers.
    Lines(net::World& world, const LineRules& rules, net::Address address, gateway::LineCounts& counts, std::string teller);
    ~Lines() override;

    void withdraw() override;
    void move_to(net::Address address) override;
    void close() override;
    std::size_t open() const override { return lines_.size(); }
    std::size_t waiting() const override { return queue_.size(); }
    std::size_t out() const override;

private:
    friend class Line;
    bool carry(const std::shared_ptr<Errand>& errand) override;
    proof::Reached take_off(Errand& errand, proof::Cause cause) override;
    std::string head_of(Errand& errand) const;
    bool dispatch(const std::shared_ptr<Errand>& errand);
    void line_free(const std::shared_ptr<Line>& line);
    void line_gone(const std::shared_ptr<Line>& line);

    const LineRules& rules_;
    net::Address address_;
    gateway::LineCounts& counts_;
    const std::string teller_;
    std::vector<std::shared_ptr<Line>> lines_, idle_;
    std::deque<std::shared_ptr<Errand>> queue_;
};

}  // namespace plumkeel::web
