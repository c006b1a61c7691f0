#include "simulator_adapter/controller.hpp"

#include <algorithm>

namespace plumkeel::simulator_adapter {

using platform_settings::SettingsError;
using wire::EventType;

Controller::Controller(std::string name, Time started_at, const wire::ControllerStarted& start)
    : name_(std::move(name)),
      started_at_(started_at),
      request_classes_(start.settings.request_classes),
      tenants_(start.settings.tenants),
      report_fields_(start.settings.report_fields),
      reports_concurrency_(start.settings.reports_concurrency),
      scheduler_(make_scheduler({name_, started_at_, start.seed, start.settings.safety_rules,
                                 start.settings.capabilities, request_classes_, tenants_})) {}

void Controller::handle(EventType type, const json& event, Time simulated_now, const json* endpoint_bank,
                        json& actions) {
    const Time now = simulated_now - started_at_;
    switch (type) {
        case EventType::request_received:
            return on_request(event, now, actions);
        case EventType::response_started:
            return on_response_started(event, now, actions);
        case EventType::attempt_ended:
            return on_attempt_ended(event, now, actions);
        case EventType::client_disconnected:
            return on_client_disconnected(event, now, actions);
        case EventType::timer_fired:
            return on_timer(event, now, actions);
        case EventType::endpoints_updated:
            return on_endpoints(event, now, endpoint_bank, actions);
        case EventType::health_check_ended:
            return on_health_check(event, now, actions);
        case EventType::preload_ended:
            return on_preload_ended(event, now, actions);
        case EventType::endpoint_bank:
        case EventType::controller_started:
        case EventType::controller_crashed:
        case EventType::unknown:
            return;
    }
}

void Controller::on_request(const json& event, Time now, json& actions) {
    const wire::RequestReceived received = wire::decode_request(event);
    const auto request_class = request_classes_.find(received.request_class);
    if (request_class == request_classes_.end())
        throw SettingsError("field 'cls': the settings have no request class '" + received.request_class + "'");
    Function& function = update_function(received);
    const auto [it, is_new] = requests_.try_emplace(received.id, std::make_unique<Request>());
    if (!is_new)
        throw SettingsError("field 'txn': request " + std::to_string(received.id) + " has already been received");
    Request& request = *it->second;
    request.id = received.id;
    request.request_class = &request_class->second;
    request.function = &function;
    request.remaining = received.remaining;
    request.is_client_retry = received.is_client_retry;
    if (received.tenant)
        if (const auto tenant = tenants_.find(*received.tenant); tenant != tenants_.end())
            request.tenant = &tenant->second;
    append_actions(scheduler_->submit(now, request), now, actions);
}

Function& Controller::update_function(const wire::RequestReceived& received) {
    std::unique_ptr<Function>& function = functions_[received.function];
    if (!function) function = std::make_unique<Function>();
    function->name = received.function;
    function->concurrency = received.function_concurrency;
    if (received.declared_load_time) function->declared_load_time = *received.declared_load_time;
    return *function;
}

Attempt* Controller::find_attempt_in_flight(const json& event) {
    const auto it = requests_.find(wire::decode_request_id(event));
    const std::uint64_t number = wire::decode_attempt_number(event);
    if (it == requests_.end() || number >= it->second->attempts.size()) return nullptr;
    Attempt& attempt = it->second->attempts[number];
    return attempt.in_flight ? &attempt : nullptr;
}

void Controller::on_response_started(const json& event, Time now, json& actions) {
    if (Attempt* attempt = find_attempt_in_flight(event))
        append_actions(scheduler_->response_started(now, *attempt), now, actions);
}

void Controller::on_attempt_ended(const json& event, Time now, json& actions) {
    Attempt* attempt = find_attempt_in_flight(event);
    if (!attempt) return;
    const wire::AttemptEnded ended = wire::decode_attempt_ended(event, reports_concurrency_);
    append_actions(scheduler_->attempt_ended(now, *attempt, ended.outcome, ended.load_event, ended.concurrent_requests,
                                             wire::decode_load_report(event, report_fields_)),
                   now, actions);
    erase_if_settled(wire::decode_request_id(event));
}

void Controller::on_client_disconnected(const json& event, Time now, json& actions) {
    const std::uint64_t id = wire::decode_request_id(event);
    const auto it = requests_.find(id);
    if (it == requests_.end()) return;
    append_actions(scheduler_->client_disconnected(now, *it->second), now, actions);
    erase_if_settled(id);
}

void Controller::on_timer(const json& event, Time now, json& actions) {
    if (wire::decode_timer(event) != std::to_string(last_timer_number_)) return;  // a later timer has replaced this one
    timer_due_at_ = Time::max();
    append_actions(scheduler_->wake(now), now, actions);
}

void Controller::on_endpoints(const json& event, Time now, const json* endpoint_bank, json& actions) {
    const wire::UpdateMode mode = wire::decode_update_mode(event);
    if (mode == wire::UpdateMode::stream_lost)
        return append_actions(scheduler_->endpoint_stream_lost(now), now, actions);
    if (!endpoint_bank) throw SettingsError("field 'bank': the endpoint bank of this update has not been received");
    std::vector<Invoker*> changed;
    for (const json& entry : *endpoint_bank) changed.push_back(update_invoker(entry));
    const bool is_complete = mode == wire::UpdateMode::complete;
    append_actions(scheduler_->endpoints_changed(now, changed, is_complete), now, actions);
}

Invoker* Controller::update_invoker(const json& entry) {
    const wire::Endpoint endpoint = wire::decode_endpoint(entry);
    std::unique_ptr<Invoker>& invoker = invokers_[endpoint.name];
    if (!invoker) invoker = std::make_unique<Invoker>();
    invoker->name = endpoint.name;
    invoker->ready = endpoint.ready;
    invoker->capacity = endpoint.capacity;
    invoker->zone = endpoint.zone;
    invoker->type = &invoker_types_[endpoint.type];
    invoker->cell = endpoint.cell;
    invoker->started_at.reset();
    if (endpoint.started_at) invoker->started_at = *endpoint.started_at - started_at_;
    return invoker.get();
}

void Controller::on_health_check(const json& event, Time now, json& actions) {
    Invoker* invoker = find_invoker(event);
    if (!invoker) return;
    const bool passed = wire::decode_health_check_passed(event);
    append_actions(
        scheduler_->health_check_ended(now, *invoker, passed, wire::decode_load_report(event, report_fields_)), now,
        actions);
}

void Controller::on_preload_ended(const json& event, Time now, json& actions) {
    Invoker* invoker = find_invoker(event);
    const wire::PreloadEnded ended = wire::decode_preload_ended(event);
    const auto function = functions_.find(ended.function);
    if (!invoker || function == functions_.end()) return;
    append_actions(scheduler_->preload_ended(now, *function->second, *invoker, ended.outcome, ended.copies), now,
                   actions);
}

Invoker* Controller::find_invoker(const json& event) {
    const auto it = invokers_.find(wire::decode_invoker_name(event));
    return it == invokers_.end() ? nullptr : it->second.get();
}

void Controller::erase_if_settled(std::uint64_t request_id) {
    const auto it = requests_.find(request_id);
    if (it != requests_.end() && it->second->is_settled()) requests_.erase(it);
}

void Controller::append_actions(const Actions& decisions, Time now, json& actions) {
    wire::ActionList action_list(name_, actions);
    if (decisions.subscribe_endpoints) action_list.subscribe_endpoints();
    for (const Attempt* attempt : decisions.to_cancel) action_list.cancel(*attempt);
    for (const Request* request : decisions.completed) action_list.complete(*request);
    for (const Attempt* attempt : decisions.to_send) action_list.send(*attempt);
    for (const Invoker* invoker : decisions.to_probe) action_list.probe(*invoker);
    for (const PreloadCommand& command : decisions.to_preload) action_list.preload(command);
    for (const Request* request : decisions.completed) erase_if_settled(request->id);
    for (const Function* function : decisions.released_functions) functions_.erase(std::string(function->name));
    for (const Invoker* invoker : decisions.released_invokers) invokers_.erase(std::string(invoker->name));
    if (decisions.next_wake < timer_due_at_) {
        timer_due_at_ = decisions.next_wake;
        action_list.set_timer(std::max(timer_due_at_ - now, Time{}), ++last_timer_number_);
    }
}

}  // namespace plumkeel::simulator_adapter
