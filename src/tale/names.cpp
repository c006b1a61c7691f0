#include "tale/names.hpp"

namespace plumkeel::tale {
namespace {

std::string find(const std::unordered_map<std::uint64_t, std::string>& names, std::uint64_t number, const char* what) {
    const auto it = names.find(number);
    return it == names.end() ? std::string(what) + " #" + std::to_string(number) : it->second;
}

}  // namespace

bool Names::feed(const Record& record) {
    switch (record.kind) {
        case trace::settings:
            start_ = trace::unpack<trace::Start>(record.body);
            return true;
        case trace::merged:
            merged_ = trace::unpack<trace::Merged>(record.body).controllers;
            return true;
        case trace::function_known: {
            auto known = trace::unpack<trace::Known>(record.body);
            functions_[known.number] = std::move(known.name);
            return true;
        }
        case trace::invoker_known: {
            auto known = trace::unpack<trace::Known>(record.body);
            invokers_[known.number] = std::move(known.name);
            return true;
        }
        case trace::function_forgotten:
            if (!all_) functions_.erase(trace::unpack<trace::Forgotten>(record.body).number);
            return true;
        case trace::resumed:
            return true;
        default:
            return false;
    }
}

std::string Names::use_case(std::uint64_t number) const {
    return number < start_.use_cases.size() ? start_.use_cases[number].first : "use case #" + std::to_string(number);
}

std::string Names::tenant(std::uint64_t number) const {
    if (!number) return "";
    return number <= start_.tenants.size() ? start_.tenants[number - 1].first : "tenant #" + std::to_string(number);
}

std::string Names::function(std::uint64_t number) const { return find(functions_, number, "function"); }
std::string Names::invoker(std::uint64_t number) const { return find(invokers_, number, "invoker"); }

std::string Names::job(std::uint64_t number) const {
    if (merged_.empty()) return std::to_string(number);
    return std::to_string(number / merged_.size()) + "@" + merged_[number % merged_.size()];
}

Time Names::promised(std::uint64_t use_case) const {
    return use_case < start_.use_cases.size() ? start_.use_cases[use_case].second.promised : Time{};
}

}  // namespace plumkeel::tale
