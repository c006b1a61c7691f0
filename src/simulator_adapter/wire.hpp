/// Codec of the simulator's protocol: decodes JSON events and encodes JSON actions. The names on the wire appear only
/// in `wire.cpp`, which maps them to the terms of the code. Decoding errors are `platform_settings::SettingsError`s
/// that name the field.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "platform_settings/settings.hpp"
#include "scheduler/types.hpp"

namespace plumkeel::simulator_adapter::wire {

using platform_settings::json;

enum class EventType {
    endpoint_bank,  ///< a numbered list of endpoints, which later updates refer to
    controller_started,
    controller_crashed,
    request_received,
    response_started,
    attempt_ended,
    client_disconnected,
    timer_fired,
    endpoints_updated,
    health_check_ended,
    preload_ended,
    unknown,
};

/// One line of input: events with the same simulated time.
struct Batch {
    Time now{};
    const json* events{};  ///< a JSON array
};
Batch decode_batch(const json& batch);

EventType decode_type(const json& event);
/// The controller that the event is for, if any.
std::optional<std::string> decode_controller(const json& event);

struct EndpointBank {
    int number{};
    json endpoints;
};
EndpointBank decode_endpoint_bank(const json& event);
/// The number of the bank that an endpoint update refers to.
int decode_bank_number(const json& event);

struct ControllerStarted {
    std::uint64_t seed{};
    platform_settings::PlatformSettings settings;
};
ControllerStarted decode_controller_started(const json& event);

std::uint64_t decode_request_id(const json& event);
std::uint64_t decode_attempt_number(const json& event);

struct RequestReceived {
    std::uint64_t id{};
    std::string request_class, function;
    int function_concurrency{};
    std::optional<Time> declared_load_time;
    Time remaining{};
    bool is_client_retry{};
    std::optional<std::string> tenant;
};
RequestReceived decode_request(const json& event);

struct AttemptEnded {
    AttemptOutcome outcome{};
    LoadEvent load_event{};
    int concurrent_requests{};  ///< other requests of the function that ran meanwhile; 0 if not reported
};
AttemptEnded decode_attempt_ended(const json& event, bool reports_concurrency);

/// Decodes a load report. `fields` names its numbers in order.
LoadReport decode_load_report(const json& event, const std::vector<std::string>& fields);

/// The number of the timer that fired, as passed to `ActionList::set_timer`.
std::string decode_timer(const json& event);

std::string decode_invoker_name(const json& event);
bool decode_health_check_passed(const json& event);

struct PreloadEnded {
    std::string function;
    AttemptOutcome outcome{};
    int copies{};
};
PreloadEnded decode_preload_ended(const json& event);

enum class UpdateMode { complete, changes, stream_lost };
UpdateMode decode_update_mode(const json& event);

struct Endpoint {
    std::string name, zone, type;
    bool ready{};
    double capacity{};
    int cell{};
    std::optional<Time> started_at;  ///< simulated time
};
Endpoint decode_endpoint(const json& entry);

/// Encodes the actions of one controller and appends them to a JSON array.
class ActionList {
public:
    ActionList(const std::string& controller, json& actions) : controller_(controller), actions_(actions) {}

    void subscribe_endpoints();
    void cancel(const Attempt& attempt);
    void complete(const Request& request);
    void send(const Attempt& attempt);
    void probe(const Invoker& invoker);
    void preload(const PreloadCommand& command);
    void set_timer(Time delay, std::uint64_t number);

private:
    json& add(const char* action);

    const std::string& controller_;
    json& actions_;
};

}  // namespace plumkeel::simulator_adapter::wire
