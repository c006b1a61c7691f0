#include "simulator_adapter/wire.hpp"

#include <algorithm>
#include <unordered_map>

namespace plumkeel::simulator_adapter::wire {
namespace {

using platform_settings::duration_or;
using platform_settings::from_ms;
using platform_settings::get_or;
using platform_settings::has;
using platform_settings::require;
using platform_settings::SettingsError;

// The value of the field 'remark' is the number of concurrent requests times this modulus, plus a load event.
constexpr std::int64_t load_event_modulus = 8;

const char* const completed = "completed";

double to_ms(Time time) {
    return static_cast<double>(time.count()) / 1000.0;
}

AttemptOutcome decode_outcome(const std::string& state) {
    static const std::unordered_map<std::string, AttemptOutcome> outcomes = {
        {completed, AttemptOutcome::succeeded},        {"saturated", AttemptOutcome::rejected},
        {"refused_conn", AttemptOutcome::unreachable}, {"superseded", AttemptOutcome::never_sent},
        {"lookup_miss", AttemptOutcome::load_failed},  {"overdue", AttemptOutcome::timed_out},
        {"severed", AttemptOutcome::connection_lost},  {"recalled", AttemptOutcome::cancelled},
    };
    const auto it = outcomes.find(state);
    // All other states count as a failure; the function may have run.
    return it == outcomes.end() ? AttemptOutcome::failed : it->second;
}

LoadEvent decode_load_event(std::int64_t remark) {
    switch (remark % load_event_modulus) {
        case 1:
            return LoadEvent::was_loaded;
        case 2:
            return LoadEvent::started_load;
        case 3:
            return LoadEvent::joined_load;
        case 4:
            return LoadEvent::load_failed;
        default:
            return LoadEvent::none;
    }
}

std::uint64_t decode_seed(const json& event) {
    const auto it = event.find("init_seed");
    if (it == event.end() || !it->is_number()) return 0;
    return it->is_number_integer() ? it->get<std::uint64_t>() : static_cast<std::uint64_t>(it->get<double>());
}

}  // namespace

Batch decode_batch(const json& batch) {
    if (!batch.is_object()) throw SettingsError("the line is not a JSON object");
    const Time now = from_ms(require<double>(batch, "sim_time"));
    const auto events = batch.find("in");
    if (events == batch.end() || !events->is_array()) throw SettingsError("field 'in' is missing or not an array");
    return {now, &*events};
}

EventType decode_type(const json& event) {
    static const std::unordered_map<std::string, EventType> types = {
        {"MANIFEST", EventType::endpoint_bank},
        {"HELLO", EventType::controller_started},
        {"CRASH_NOW", EventType::controller_crashed},
        {"ASK", EventType::request_received},
        {"ACCEPTED", EventType::response_started},
        {"DONE", EventType::attempt_ended},
        {"HANGUP", EventType::client_disconnected},
        {"WAKEUP", EventType::timer_fired},
        {"DIRECTORY_UPDATE", EventType::endpoints_updated},
        {"CHECK_RESULT", EventType::health_check_ended},
        {"LOAD_DONE", EventType::preload_ended},
    };
    if (!event.is_object()) throw SettingsError("an event is not a JSON object");
    const auto it = types.find(require<std::string>(event, "msg"));
    return it == types.end() ? EventType::unknown : it->second;
}

std::optional<std::string> decode_controller(const json& event) {
    if (!has(event, "who")) return {};
    return require<std::string>(event, "who");
}

int decode_bank_number(const json& event) {
    return get_or<int>(event, "bank");
}

EndpointBank decode_endpoint_bank(const json& event) {
    return {require<int>(event, "bank"), require<json>(event, "nodes_list")};
}

ControllerStarted decode_controller_started(const json& event) {
    return {decode_seed(event), platform_settings::parse_settings(platform_settings::object_or_empty(event, "setup"))};
}

std::uint64_t decode_request_id(const json& event) {
    return require<std::uint64_t>(event, "txn");
}

std::uint64_t decode_attempt_number(const json& event) {
    return require<std::uint64_t>(event, "seq_no");
}

RequestReceived decode_request(const json& event) {
    RequestReceived result;
    result.request_class = require<std::string>(event, "cls");
    result.function = get_or<std::string>(event, "function");
    result.function_concurrency = get_or<int>(event, "per_copy", 1);
    if (has(event, "warm_ms")) result.declared_load_time = duration_or(event, "warm_ms");
    result.id = decode_request_id(event);
    result.remaining = from_ms(require<double>(event, "time_left"));
    result.is_client_retry = get_or<bool>(event, "is_retry");
    if (const auto tenant = event.find("user_group"); tenant != event.end() && tenant->is_string())
        result.tenant = tenant->get<std::string>();
    return result;
}

AttemptEnded decode_attempt_ended(const json& event, bool reports_concurrency) {
    const auto remark = get_or<std::int64_t>(event, "remark");
    return {decode_outcome(require<std::string>(event, "state_code")), decode_load_event(remark),
            reports_concurrency ? static_cast<int>(remark / load_event_modulus) : 0};
}

LoadReport decode_load_report(const json& event, const std::vector<std::string>& fields) {
    LoadReport result;
    const auto values = event.find("gauge");
    if (values == event.end() || !values->is_array()) return result;
    for (std::size_t i = 0; i < values->size() && i < fields.size(); ++i) {
        const json& value = (*values)[i];
        if (value.is_number()) platform_settings::set_report_field(result, fields[i], value.get<double>());
    }
    return result;
}

std::string decode_timer(const json& event) {
    return get_or<std::string>(event, "ref");
}

std::string decode_invoker_name(const json& event) {
    return require<std::string>(event, "invoker");
}

bool decode_health_check_passed(const json& event) {
    return require<std::string>(event, "state_code") == completed;
}

PreloadEnded decode_preload_ended(const json& event) {
    return {require<std::string>(event, "function"), decode_outcome(require<std::string>(event, "state_code")),
            get_or<int>(event, "count")};
}

UpdateMode decode_update_mode(const json& event) {
    const auto mode = require<std::string>(event, "mode");
    if (mode == "error") return UpdateMode::stream_lost;
    return mode == "diff" ? UpdateMode::changes : UpdateMode::complete;
}

Endpoint decode_endpoint(const json& entry) {
    Endpoint result;
    result.name = require<std::string>(entry, "invoker");
    result.ready = get_or<std::string>(entry, "readiness") == "Ready";
    result.capacity = get_or<double>(entry, "units", 1.0);
    result.zone = get_or<std::string>(entry, "locality");
    result.type = get_or<std::string>(entry, "shape");
    result.cell = get_or<int>(entry, "unit_group");
    if (const Time started_at = duration_or(entry, "start_time"); started_at != Time{}) result.started_at = started_at;
    return result;
}

json& ActionList::add(const char* action) {
    actions_.push_back({{"msg", action}, {"who", controller_}});
    return actions_.back();
}

void ActionList::subscribe_endpoints() {
    add("WATCH")["active"] = true;
}

void ActionList::cancel(const Attempt& attempt) {
    json& action = add("STOP_ATTEMPT");
    action["txn"] = attempt.request->id;
    action["seq_no"] = attempt.number;
}

void ActionList::complete(const Request& request) {
    const bool is_rejected = request.state == RequestState::rejected;
    json& action = add(is_rejected ? "NOT_NOW" : "ERROR");
    action["txn"] = request.id;
    if (is_rejected && request.retry_after > Time{}) action["pause"] = to_ms(request.retry_after);
}

void ActionList::send(const Attempt& attempt) {
    constexpr Time min_timeout(1);
    json& action = add("CALL_OUT");
    action["txn"] = attempt.request->id;
    action["invoker"] = attempt.invoker->name;
    action["within"] = to_ms(std::max(attempt.timeout, min_timeout));
}

void ActionList::probe(const Invoker& invoker) {
    add("PROBE")["invoker"] = invoker.name;
}

void ActionList::preload(const PreloadCommand& command) {
    const bool is_load = command.copies > 0;
    json& action = add(is_load ? "HOLD_THERE" : "SHELVE");
    action["invoker"] = command.invoker->name;
    action["function"] = command.function->name;
    if (is_load) action["count"] = command.copies;
}

void ActionList::set_timer(Time delay, std::uint64_t number) {
    json& action = add("AFTER");
    action["after"] = to_ms(delay);
    action["ref"] = std::to_string(number);
}

}  // namespace plumkeel::simulator_adapter::wire
