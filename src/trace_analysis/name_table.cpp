#include "trace_analysis/name_table.hpp"

namespace plumkeel::trace_analysis {
namespace {

std::string find(const std::unordered_map<std::uint64_t, std::string>& names, std::uint64_t number, const char* what) {
    const auto it = names.find(number);
    return it == names.end() ? std::string(what) + " #" + std::to_string(number) : it->second;
}

}  // namespace

bool NameTable::feed(const Record& record) {
    switch (record.type) {
        case trace::settings:
            start_ = trace::unpack<trace::Start>(record.body);
            return true;
        case trace::merged:
            merged_ = trace::unpack<trace::Merged>(record.body).controllers;
            return true;
        case trace::function_known: {
            auto known = trace::unpack<trace::NameRecord>(record.body);
            functions_[known.number] = std::move(known.name);
            return true;
        }
        case trace::invoker_known: {
            auto known = trace::unpack<trace::NameRecord>(record.body);
            invokers_[known.number] = std::move(known.name);
            return true;
        }
        case trace::function_released:
            if (!all_) functions_.erase(trace::unpack<trace::FunctionReleased>(record.body).number);
            return true;
        case trace::resumed:
            return true;
        default:
            return false;
    }
}

std::string NameTable::request_class(std::uint64_t number) const {
    return number < start_.request_classes.size() ? start_.request_classes[number].first
                                                  : "use case #" + std::to_string(number);
}

std::string NameTable::tenant(std::uint64_t number) const {
    if (!number) return "";
    return number <= start_.tenants.size() ? start_.tenants[number - 1].first : "tenant #" + std::to_string(number);
}

std::string NameTable::function(std::uint64_t number) const {
    return find(functions_, number, "function");
}
std::string NameTable::invoker(std::uint64_t number) const {
    return find(invokers_, number, "invoker");
}

std::string NameTable::request(std::uint64_t number) const {
    if (merged_.empty()) return std::to_string(number);
    return std::to_string(number / merged_.size()) + "@" + merged_[number % merged_.size()];
}

Time NameTable::latency_target(std::uint64_t request_class) const {
    return request_class < start_.request_classes.size() ? start_.request_classes[request_class].second.latency_target
                                                         : Time{};
}

}  // namespace plumkeel::trace_analysis
