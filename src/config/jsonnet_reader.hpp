// Reads a Jsonnet template into checked values. Every complaint names the file and the field; a field that
// nothing asked for is a complaint too.
#pragma once

#include <boost/json.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>

namespace plumkeel {

using Time = std::chrono::microseconds;

struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Evaluates a Jsonnet file to a JSON value. `given` are its external variables (std.extVar), as texts.
boost::json::value evaluate_jsonnet(const std::string& file, const std::map<std::string, std::string>& given = {});

// "250ms", "1.5s", "2min", "1h"; throws with the text named.
Time parse_duration(std::string_view text);

// One object of the settings. Ask for each field, then finish().
class JsonnetReader {
public:
    JsonnetReader(const boost::json::value& value, std::string file, std::string path = "");

    bool has(std::string_view key) const;
    void read(std::string_view key, std::string& into);
    void read(std::string_view key, bool& into);
    void read(std::string_view key, Time& into);
    void read(std::string_view key, double& into);
    void read(std::string_view key, int& into, int least = 0);
    void read(std::string_view key, std::size_t& into, std::size_t least = 0);
    // Fields left out keep what they hold; need() complains instead.
    template <class T>
    void require(std::string_view key, T& into) {
        if (!has(key)) fail(key, "is missing");
        read(key, into);
    }
    void read_enum(std::string_view key, const std::map<std::string, int>& words, int& into);
    template <class T>
    void read_enum(std::string_view key, const std::map<std::string, T>& words, T& into) {
        std::map<std::string, int> plain;
        for (const auto& [word, value] : words) plain[word] = static_cast<int>(value);
        int chosen = static_cast<int>(into);
        read_enum(key, plain, chosen);
        into = static_cast<T>(chosen);
    }
    // An object within, empty where left out; a list of objects; the members of an object by name.
    void read_object(std::string_view key, const std::function<void(JsonnetReader&)>& what);
    void read_array(std::string_view key, const std::function<void(JsonnetReader&)>& what);
    void read_members(std::string_view key, const std::function<void(const std::string&, JsonnetReader&)>& what);
    const boost::json::value* raw(std::string_view key);

    void reject_unknown_fields() const;
    [[noreturn]] void fail(std::string_view key, const std::string& what) const;

private:
    const boost::json::value* find(std::string_view key);

    const boost::json::object* object_;
    const std::string file_, path_;
    std::set<std::string, std::less<>> asked_;
};

}  // namespace plumkeel
