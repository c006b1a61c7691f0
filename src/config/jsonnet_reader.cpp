#include "config/jsonnet_reader.hpp"

#include <libjsonnet++.h>

#include <charconv>
#include <cmath>

namespace plumkeel {
namespace {

constexpr const char* duration_examples = R"(a duration such as "250ms", "1.5s" or "2min")";
constexpr double max_duration_us = 1e15;   // 31 years
constexpr double max_whole_number = 1e15;  // a double represents smaller whole numbers exactly
constexpr std::size_t max_int = 1'000'000'000;

// Describes the value that was found, for error messages.
std::string describe(const boost::json::value& value) {
    if (value.is_object()) return "an object";
    if (value.is_array()) return "an array";
    return boost::json::serialize(value);
}

}  // namespace

boost::json::value evaluate_jsonnet(const std::string& file, const std::map<std::string, std::string>& variables) {
    jsonnet::Jsonnet engine;
    if (!engine.init()) throw ConfigError(file + ": the Jsonnet engine can't be started");
    for (const auto& [name, value] : variables) engine.bindExtVar(name, value);
    std::string text;
    if (!engine.evaluateFile(file, &text)) {
        std::string error = engine.lastError();
        while (!error.empty() && error.back() == '\n') error.pop_back();
        throw ConfigError(file + ": " + error);
    }
    return boost::json::parse(text);
}

Time parse_duration(std::string_view text) {
    static const std::map<std::string_view, double> microseconds_per_unit = {
        {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}};
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    const auto unit = microseconds_per_unit.find(text.substr(static_cast<std::size_t>(end - text.data())));
    if (error != std::errc{} || unit == microseconds_per_unit.end() || !(number >= 0) ||
        number * unit->second > max_duration_us)
        throw ConfigError("found \"" + std::string(text) + "\", expected " + duration_examples);
    return Time(std::llround(number * unit->second));
}

JsonnetReader::JsonnetReader(const boost::json::value& value, std::string file, std::string path)
    : object_(value.if_object()), file_(std::move(file)), path_(std::move(path)) {
    if (!object_)
        throw ConfigError(file_ + ": " + (path_.empty() ? "the file" : path_) + ": found " + describe(value) +
                          ", expected an object");
}

std::string JsonnetReader::path_of(std::string_view key) const {
    if (key.empty()) return path_;
    return (path_.empty() ? "" : path_ + ".") + std::string(key);
}

void JsonnetReader::fail(std::string_view key, const std::string& problem) const {
    throw ConfigError(file_ + ": " + path_of(key) + ": " + problem);
}

void JsonnetReader::fail_type(std::string_view key, const boost::json::value& found,
                              const std::string& expected) const {
    fail(key, "found " + describe(found) + ", expected " + expected);
}

const boost::json::value* JsonnetReader::find(std::string_view key) {
    known_fields_.emplace(key);
    const auto* value = object_->if_contains({key.data(), key.size()});
    return value && !value->is_null() ? value : nullptr;
}

bool JsonnetReader::has(std::string_view key) const {
    const auto* value = object_->if_contains({key.data(), key.size()});
    return value && !value->is_null();
}

const boost::json::value* JsonnetReader::raw(std::string_view key) {
    return find(key);
}

void JsonnetReader::read(std::string_view key, std::string& into) {
    const auto* value = find(key);
    if (!value) return;
    if (!value->is_string()) fail_type(key, *value, "a string");
    into = std::string(value->as_string());
}

void JsonnetReader::read(std::string_view key, bool& into) {
    const auto* value = find(key);
    if (!value) return;
    if (!value->is_bool()) fail_type(key, *value, "true or false");
    into = value->as_bool();
}

void JsonnetReader::read(std::string_view key, Time& into) {
    const auto* value = find(key);
    if (!value) return;
    if (!value->is_string()) fail_type(key, *value, duration_examples);
    try {
        into = parse_duration(std::string_view(value->as_string()));
    } catch (const ConfigError& error) {
        fail(key, error.what());
    }
}

void JsonnetReader::read(std::string_view key, double& into) {
    const auto* value = find(key);
    if (!value) return;
    if (!value->is_number()) fail_type(key, *value, "a number");
    into = value->to_number<double>();
    if (!(into >= 0)) fail_type(key, *value, "at least 0");
}

void JsonnetReader::read(std::string_view key, int& into, int min) {
    std::size_t number = static_cast<std::size_t>(std::max(0, into));
    read(key, number, static_cast<std::size_t>(min));
    if (number > max_int)
        fail(key, "found " + std::to_string(number) + ", expected at most " + std::to_string(max_int));
    into = static_cast<int>(number);
}

void JsonnetReader::read(std::string_view key, std::size_t& into, std::size_t min) {
    const auto* value = find(key);
    if (!value) return;
    double number = -1;
    if (value->is_number()) number = value->to_number<double>();
    if (number < 0 || number != std::floor(number) || number > max_whole_number)
        fail_type(key, *value, "a whole number from 0 to 1e15");
    into = static_cast<std::size_t>(number);
    if (into < min) fail_type(key, *value, "at least " + std::to_string(min));
}

void JsonnetReader::read_enum(std::string_view key, const std::map<std::string, int>& names, int& into) {
    std::string name;
    read(key, name);
    if (name.empty()) return;
    const auto it = names.find(name);
    if (it != names.end()) {
        into = it->second;
        return;
    }
    std::string allowed;
    for (const auto& [each, value] : names) allowed += (allowed.empty() ? "" : ", ") + each;
    fail(key, "found \"" + name + "\", expected one of: " + allowed);
}

void JsonnetReader::read_object(std::string_view key, const std::function<void(JsonnetReader&)>& read_fields) {
    static const boost::json::value empty = boost::json::object();
    const auto* value = find(key);
    JsonnetReader reader(value ? *value : empty, file_, path_of(key));
    read_fields(reader);
    reader.reject_unknown_fields();
}

void JsonnetReader::read_array(std::string_view key, const std::function<void(JsonnetReader&)>& read_element) {
    const auto* value = find(key);
    if (!value) return;
    if (!value->is_array()) fail_type(key, *value, "an array");
    std::size_t index = 0;
    for (const auto& element : value->as_array()) {
        JsonnetReader reader(element, file_, path_of(key) + "[" + std::to_string(index++) + "]");
        read_element(reader);
        reader.reject_unknown_fields();
    }
}

void JsonnetReader::read_members(std::string_view key,
                                 const std::function<void(const std::string&, JsonnetReader&)>& read_member) {
    const auto* value = find(key);
    if (!value) return;
    if (!value->is_object()) fail_type(key, *value, "an object");
    for (const auto& [name, member] : value->as_object()) {
        JsonnetReader reader(member, file_, path_of(key) + "." + std::string(name));
        read_member(std::string(name), reader);
        reader.reject_unknown_fields();
    }
}

void JsonnetReader::reject_unknown_fields() const {
    for (const auto& [name, value] : *object_)
        if (!known_fields_.count(std::string_view(name))) fail(std::string_view(name), "unknown field");
}

}  // namespace plumkeel
