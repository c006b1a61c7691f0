// What a list of invokers tells that the one before it did not. Pure.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "tale/names.hpp"

namespace plumkeel::tale {

enum class Change { listed, ready, drains, started, gone };

class Listing {
public:
    struct News {
        Change change{};
        std::string who;
    };
    // Nothing for the first list that names anyone.
    std::vector<News> feed(const trace::FleetChanged& told, const Names& names);
    bool begun() const { return begun_; }

private:
    std::map<std::string, trace::ListEntry> facts_;
    bool begun_{};
};

}  // namespace plumkeel::tale
