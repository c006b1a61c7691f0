#include "emulator/audit/deployment_rules.hpp"

namespace plumkeel::emulator {
namespace {

bool is_same_scope(const DeploymentRules::Location& a, const DeploymentRules::Location& b, DeduplicationScope scope) {
    switch (scope) {
        case DeduplicationScope::zone:
            return a.zone == b.zone;
        case DeduplicationScope::cell:
            return a.cell == b.cell;
        case DeduplicationScope::global:
            break;
    }
    return true;
}

}  // namespace

DeploymentRules::RequestClass DeploymentRules::request_class(const std::string& name) const {
    const auto found = request_classes.find(name);
    return found == request_classes.end() ? RequestClass{} : found->second;
}

bool DeploymentRules::in_one_scope(const std::string& invoker, const std::string& other,
                                   DeduplicationScope scope) const {
    const auto a = locations.find(invoker), b = locations.find(other);
    return a != locations.end() && b != locations.end() && is_same_scope(a->second, b->second, scope);
}

bool DeploymentRules::in_different_scopes(const std::string& invoker, const std::string& other,
                                          DeduplicationScope scope) const {
    const auto a = locations.find(invoker), b = locations.find(other);
    return a != locations.end() && b != locations.end() && !is_same_scope(a->second, b->second, scope);
}

}  // namespace plumkeel::emulator
