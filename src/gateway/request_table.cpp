#include "gateway/request_table.hpp"

#include <algorithm>
#include <utility>

#include "gateway/attempt_call.hpp"

namespace plumkeel::gateway {

std::string_view request_class_name(const ActiveRequest& request) {
    return static_cast<const NamedRequestClass*>(request.request_class)->name;
}

ActiveRequest& RequestTable::add(IncomingRequest incoming, std::shared_ptr<ResponseSink> sink, Time now) {
    Function& function = register_function(incoming);
    auto added = std::make_unique<ActiveRequest>();
    ActiveRequest& request = *added;
    request.id = ++last_id_;
    request.request_class = incoming.request_class;
    request.function = &function;
    const Time since_read = incoming.read_at ? now - *incoming.read_at : Time{};
    request.remaining = std::max(Time{}, incoming.remaining - incoming.unread_time - since_read);
    request.is_client_retry = incoming.is_client_retry;
    if (const auto tenant = tenants_.find(incoming.tenant); tenant != tenants_.end()) {
        request.tenant = &tenant->second;
        request.tenant_name = tenant->first;
    }
    request.sink = std::move(sink);
    request.held_bytes = incoming.held_bytes;
    request.name = std::move(incoming.name);
    request.sink_request_id = incoming.sink_request_id;
    request.idempotency_key = std::move(incoming.idempotency_key);
    request.forwarded_headers = std::move(incoming.forwarded_headers);
    request.concurrency = incoming.concurrency;
    request.memory = incoming.memory;
    request.body = std::make_shared<const std::string>(std::move(incoming.body));
    requests_[request.id] = std::move(added);
    return request;
}

ActiveRequest* RequestTable::find(std::uint64_t id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : found->second.get();
}

void RequestTable::erase_if_settled(ActiveRequest& request) {
    if (request.is_settled()) requests_.erase(request.id);
}

Function* RequestTable::find_function(const std::string& name) {
    const auto found = functions_.find(name);
    return found == functions_.end() ? nullptr : found->second.get();
}

void RequestTable::release_function(const Function& function) {
    const std::string name = function.name;  // a copy, since erase() destroys the function with its name
    functions_.erase(name);
}

std::vector<const Tenant*> RequestTable::tenants() const {
    std::vector<const Tenant*> result;
    for (const auto& [name, tenant] : tenants_) result.push_back(&tenant);
    return result;
}

Function& RequestTable::register_function(const IncomingRequest& incoming) {
    std::unique_ptr<Function>& function = functions_[incoming.function];
    if (!function) function = std::make_unique<Function>();
    function->name = incoming.function;
    function->concurrency = incoming.concurrency;
    if (incoming.declared_load_time) function->declared_load_time = incoming.declared_load_time;
    return *function;
}

}  // namespace plumkeel::gateway
