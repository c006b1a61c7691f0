// Fields of a JSON object that may be absent, null or of the wrong type. Every complaint names the field.
#pragma once

#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace plumkeel::platform_settings {

using nlohmann::json;
using Time = std::chrono::microseconds;

struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline Time from_ms(double ms) {
    return Time(std::llround(ms * 1000.0));
}

template <class T>
T get(const json& object, const char* key, T otherwise = {}) {
    const auto it = object.find(key);
    if (it == object.end() || it->is_null()) return otherwise;
    try {
        return it->get<T>();
    } catch (const json::exception&) {
        throw SettingsError(std::string("field '") + key + "' is of the wrong type");
    }
}

inline bool has(const json& object, const char* key) {
    const auto it = object.find(key);
    return it != object.end() && !it->is_null();
}

template <class T>
T need(const json& object, const char* key) {
    if (!has(object, key)) throw SettingsError(std::string("field '") + key + "' is missing");
    return get<T>(object, key);
}

inline Time span(const json& object, const char* key, Time otherwise = {}) {
    if (!has(object, key)) return otherwise;
    constexpr double longest_ms = 1e12;  // what comes beyond it fits no clock
    const auto ms = get<double>(object, key);
    if (!(ms >= 0 && ms <= longest_ms)) throw SettingsError(std::string("field '") + key + "' is no span of time");
    return from_ms(ms);
}

inline const json& part(const json& object, const char* key) {
    static const json nothing = json::object();
    const auto it = object.find(key);
    if (it == object.end() || it->is_null()) return nothing;
    if (!it->is_object()) throw SettingsError(std::string("field '") + key + "' is no object");
    return *it;
}

}  // namespace plumkeel::platform_settings
