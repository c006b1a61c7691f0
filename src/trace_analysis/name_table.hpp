// Who is who in one trace: its records of names, by the numbers that the others use.
#pragma once

#include <string>
#include <unordered_map>

#include "trace/records.hpp"

namespace plumkeel::trace_analysis {

using trace::Record;
using trace::Time;

class NameTable {
public:
    // With `all`, functions that the controller has forgotten stay known.
    explicit NameTable(bool all = false) : all_(all) {}

    // Whether it was a record of names.
    bool feed(const Record& record);

    const trace::Start& start() const { return start_; }
    const std::vector<std::string>& controllers() const { return merged_; }  // empty: one, start().name
    std::string request_class(std::uint64_t number) const;
    std::string tenant(std::uint64_t number) const;  // as trace::Taken has it; "" for none
    std::string function(std::uint64_t number) const;
    std::string invoker(std::uint64_t number) const;
    std::string request(std::uint64_t number) const;         // "12", or "12@controller" in a merged trace
    Time latency_target(std::uint64_t request_class) const;  // 0 where it is not known

private:
    const bool all_;
    trace::Start start_;
    std::vector<std::string> merged_;
    std::unordered_map<std::uint64_t, std::string> functions_, invokers_;
};

}  // namespace plumkeel::trace_analysis
