#include "config/jsonnet_reader.hpp"

#include <libjsonnet++.h>

#include <charconv>
#include <cmath>

namespace plumkeel {

boost::json::value evaluate_jsonnet(const std::string& file, const std::map<std::string, std::string>& given) {
    jsonnet::Jsonnet engine;
    if (!engine.init()) throw ConfigError(file + ": the Jsonnet engine can't be started");
    for (const auto& [name, value] : given) engine.bindExtVar(name, value);
    std::string text;
    if (!engine.evaluateFile(file, &text)) {
        std::string why = engine.lastError();
        while (!why.empty() && why.back() == '\n') why.pop_back();
        throw ConfigError(file + ": " + why);
    }
    return boost::json::parse(text);
}

Time parse_duration(std::string_view text) {
    static const std::map<std::string_view, double> units = {
        {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"min", 60e6}, {"h", 3600e6}};
    double figure = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), figure);
    const auto unit = units.find(text.substr(static_cast<std::size_t>(end - text.data())));
    if (error != std::errc{} || unit == units.end() || !(figure >= 0) || figure * unit->second > 1e15)
        throw ConfigError("'" + std::string(text) + "' is no time such as \"250ms\", \"1.5s\" or \"2min\"");
    return Time(std::llround(figure * unit->second));
}

JsonnetReader::JsonnetReader(const boost::json::value& value, std::string file, std::string path)
    : object_(value.if_object()), file_(std::move(file)), path_(std::move(path)) {
    if (!object_) throw ConfigError(file_ + ": " + (path_.empty() ? "the settings" : path_) + ": is no object");
}

void JsonnetReader::fail(std::string_view key, const std::string& what) const {
    throw ConfigError(file_ + ": " + (path_.empty() ? "" : path_ + ".") + std::string(key) + ": " + what);
}

const boost::json::value* JsonnetReader::find(std::string_view key) {
    asked_.emplace(key);
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
    if (!value->is_string()) fail(key, "is no text");
    into = std::string(value->as_string());
}

void JsonnetReader::read(std::string_view key, bool& into) {
    const auto* value = find(key);
    if (!value) return;
    if (!value->is_bool()) fail(key, "is neither true nor false");
    into = value->as_bool();
}

void JsonnetReader::read(std::string_view key, Time& into) {
    const auto* value = find(key);
    if (!value) return;
    if (!value->is_string()) fail(key, "is no time such as \"250ms\", \"1.5s\" or \"2min\"");
    try {
        into = parse_duration(std::string_view(value->as_string()));
    } catch (const ConfigError& fault) {
        fail(key, fault.what());
    }
}

void JsonnetReader::read(std::string_view key, double& into) {
    const auto* value = find(key);
    if (!value) return;
    if (!value->is_number()) fail(key, "is no number");
    into = value->to_number<double>();
    if (!(into >= 0)) fail(key, "is below 0");
}

void JsonnetReader::read(std::string_view key, int& into, int least) {
    std::size_t figure = static_cast<std::size_t>(std::max(0, into));
    read(key, figure, static_cast<std::size_t>(least));
    if (figure > 1'000'000'000) fail(key, "is too large");
    into = static_cast<int>(figure);
}

void JsonnetReader::read(std::string_view key, std::size_t& into, std::size_t least) {
    const auto* value = find(key);
    if (!value) return;
    double figure = -1;
    if (value->is_number()) figure = value->to_number<double>();
    if (figure < 0 || figure != std::floor(figure) || figure > 1e15) fail(key, "is no whole number");
    into = static_cast<std::size_t>(figure);
    if (into < least) fail(key, "is below " + std::to_string(least));
}

void JsonnetReader::read_enum(std::string_view key, const std::map<std::string, int>& words, int& into) {
    std::string word;
    read(key, word);
    if (word.empty()) return;
    const auto it = words.find(word);
    if (it != words.end()) {
        into = it->second;
        return;
    }
    std::string known;
    for (const auto& [each, value] : words) known += (known.empty() ? "" : ", ") + each;
    fail(key, "'" + word + "' is none of: " + known);
}

void JsonnetReader::read_object(std::string_view key, const std::function<void(JsonnetReader&)>& what) {
    static const boost::json::value nothing = boost::json::object();
    const auto* value = find(key);
    JsonnetReader inner(value ? *value : nothing, file_, (path_.empty() ? "" : path_ + ".") + std::string(key));
    what(inner);
    inner.reject_unknown_fields();
}

void JsonnetReader::read_array(std::string_view key, const std::function<void(JsonnetReader&)>& what) {
    const auto* value = find(key);
    if (!value) return;
    if (!value->is_array()) fail(key, "is no list");
    std::size_t place = 0;
    for (const auto& entry : value->as_array()) {
        JsonnetReader inner(
            entry, file_, (path_.empty() ? "" : path_ + ".") + std::string(key) + "[" + std::to_string(place++) + "]");
        what(inner);
        inner.reject_unknown_fields();
    }
}

void JsonnetReader::read_members(std::string_view key,
                                 const std::function<void(const std::string&, JsonnetReader&)>& what) {
    const auto* value = find(key);
    if (!value) return;
    if (!value->is_object()) fail(key, "is no object");
    for (const auto& [name, entry] : value->as_object()) {
        JsonnetReader inner(entry, file_,
                            (path_.empty() ? "" : path_ + ".") + std::string(key) + "." + std::string(name));
        what(std::string(name), inner);
        inner.reject_unknown_fields();
    }
}

void JsonnetReader::reject_unknown_fields() const {
    for (const auto& [name, value] : *object_)
        if (!asked_.count(std::string_view(name))) fail(std::string_view(name), "is not known here");
}

}  // namespace plumkeel
