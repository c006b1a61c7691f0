// The connections to one invoker of the platform: many errands on each, answers in any order. A hop is called off
// by word, and its connection stays. An invoker runs a hop only once it has come whole, so one that was not
// written whole when its connection ended never ran.
//
// What can't be read ends its connection at once, with all that is out on it, each by what it proves. So does a
// probe that finds nothing heard on its connection for the whole of its time.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "charter/charter.hpp"
#include "gateway/edges.hpp"

namespace plumkeel::runline {

using gateway::Errand;

struct Sight {  // what invokers tell, by the settings
    std::vector<std::string> report_fields;
    bool says_company{};
};

class Wire;

class Lines : public gateway::Lines {
public:
    // `open_all` counts the connections to all invokers, which rules.most_all bounds.
    Lines(net::World& world, const LineRules& rules, const Sight& sight, net::Address address, gateway::LineCounts& counts,
          std::size_t& open_all);
    ~Lines() override;

    void withdraw() override;
    void move_to(net::Address address) override;
    void close() override;
    std::size_t open() const override { return wires_.size(); }
    std::size_t waiting() const override { return queue_.size(); }
    std::size_t out() const override;

private:
    friend class Wire;
    bool carry(const std::shared_ptr<Errand>& errand) override;
    proof::Reached take_off(Errand& errand, proof::Cause cause) override;
    bool dispatch(const std::shared_ptr<Errand>& errand);
    std::shared_ptr<Wire> choose(const Errand& errand);
    std::string id_of(const Errand& errand);
    void wire_free();
    void wire_gone(const std::shared_ptr<Wire>& wire);

    const LineRules& rules_;
    const Sight& sight_;
    net::Address address_;
    gateway::LineCounts& counts_;
    std::size_t& open_all_;
    std::vector<std::shared_ptr<Wire>> wires_;
    std::deque<std::shared_ptr<Errand>> queue_;
    std::uint64_t tags_{};
};

}  // namespace plumkeel::runline
