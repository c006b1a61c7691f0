/// Typed access to the fields of a JSON object that may be absent, null or of the wrong type. Every error names the
/// field, what was found and what is allowed.
#pragma once

#include <chrono>
#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <type_traits>

namespace plumkeel::platform_settings {

using nlohmann::json;
using Time = std::chrono::microseconds;

/// A field that can't be used; `what()` names it.
struct SettingsError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline std::string field_name(const char* key) {
    return std::string("field '") + key + "'";
}

inline Time from_ms(double ms) {
    constexpr double microseconds_per_ms = 1000.0;
    return Time(std::llround(ms * microseconds_per_ms));
}

/// Describes, for error messages, which JSON values a C++ type accepts.
template <class T>
constexpr const char* expected_json_type() {
    if constexpr (std::is_same_v<T, bool>)
        return "true or false";
    else if constexpr (std::is_arithmetic_v<T>)
        return "a number";
    else if constexpr (std::is_same_v<T, std::string>)
        return "a string";
    else
        return "an array of strings";
}

/// Returns the field's value, or `fallback` where the field is absent or null.
template <class T>
T get_or(const json& object, const char* key, T fallback = {}) {
    const auto it = object.find(key);
    if (it == object.end() || it->is_null()) return fallback;
    try {
        return it->get<T>();
    } catch (const json::exception&) {
        throw SettingsError(field_name(key) + ": found " + it->type_name() + ", expected " + expected_json_type<T>());
    }
}

inline bool has(const json& object, const char* key) {
    const auto it = object.find(key);
    return it != object.end() && !it->is_null();
}

/// Returns the field's value; throws where the field is absent or null.
template <class T>
T require(const json& object, const char* key) {
    if (!has(object, key)) throw SettingsError(field_name(key) + " is missing");
    return get_or<T>(object, key);
}

/// Reads a duration given in milliseconds; returns `fallback` where the field is absent or null.
inline Time duration_or(const json& object, const char* key, Time fallback = {}) {
    if (!has(object, key)) return fallback;
    constexpr double max_ms = 1e12;  // 31 years; much longer durations overflow in microseconds
    const auto ms = get_or<double>(object, key);
    if (!(ms >= 0 && ms <= max_ms))
        throw SettingsError(field_name(key) + ": found " + object.at(key).dump() +
                            ", expected a duration in milliseconds from 0 to 1e12");
    return from_ms(ms);
}

/// Returns a nested object, or an empty one where the field is absent or null.
inline const json& object_or_empty(const json& object, const char* key) {
    static const json empty = json::object();
    const auto it = object.find(key);
    if (it == object.end() || it->is_null()) return empty;
    if (!it->is_object()) throw SettingsError(field_name(key) + ": found " + it->type_name() + ", expected an object");
    return *it;
}

}  // namespace plumkeel::platform_settings
