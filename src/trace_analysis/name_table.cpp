#include "trace_analysis/name_table.hpp"

namespace plumkeel::trace_analysis {
namespace {

std::string name_or_number(const std::unordered_map<std::uint64_t, std::string>& names, std::uint64_t number,
                           const char* kind) {
    const auto it = names.find(number);
    return it == names.end() ? std::string(kind) + " #" + std::to_string(number) : it->second;
}

}  // namespace

bool NameTable::feed(const Record& record) {
    switch (record.type) {
        case trace::settings:
            scheduler_settings_ = trace::unpack<trace::SchedulerSettings>(record.body);
            return true;
        case trace::merged:
            controllers_ = trace::unpack<trace::MergedControllers>(record.body).controllers;
            return true;
        case trace::function_defined: {
            auto name_record = trace::unpack<trace::NameRecord>(record.body);
            functions_[name_record.number] = std::move(name_record.name);
            return true;
        }
        case trace::invoker_defined: {
            auto name_record = trace::unpack<trace::NameRecord>(record.body);
            invokers_[name_record.number] = std::move(name_record.name);
            return true;
        }
        case trace::function_released:
            if (!keep_released_) functions_.erase(trace::unpack<trace::FunctionReleased>(record.body).number);
            return true;
        case trace::resumed:
            return true;
        default:
            return false;
    }
}

std::string NameTable::request_class(std::uint64_t number) const {
    return number < scheduler_settings_.request_classes.size() ? scheduler_settings_.request_classes[number].first
                                                               : "request class #" + std::to_string(number);
}

std::string NameTable::tenant(std::uint64_t number) const {
    if (!number) return "";
    return number <= scheduler_settings_.tenants.size() ? scheduler_settings_.tenants[number - 1].first
                                                        : "tenant #" + std::to_string(number);
}

std::string NameTable::function(std::uint64_t number) const {
    return name_or_number(functions_, number, "function");
}
std::string NameTable::invoker(std::uint64_t number) const {
    return name_or_number(invokers_, number, "invoker");
}

std::string NameTable::request(std::uint64_t number) const {
    if (controllers_.empty()) return std::to_string(number);
    return std::to_string(number / controllers_.size()) + "@" + controllers_[number % controllers_.size()];
}

Time NameTable::latency_target(std::uint64_t request_class) const {
    return request_class < scheduler_settings_.request_classes.size()
               ? scheduler_settings_.request_classes[request_class].second.latency_target
               : Time{};
}

}  // namespace plumkeel::trace_analysis
