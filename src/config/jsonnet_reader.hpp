/// Reads a Jsonnet template into checked values. Every error names the file and the field, with what was found and
/// what is allowed; a field that nothing read is an error too.
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

/// A configuration that can't be used; `what()` names the file and the field.
struct ConfigError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Evaluates a Jsonnet file to a JSON value. `variables` are its external variables (`std.extVar`), as strings.
boost::json::value evaluate_jsonnet(const std::string& file, const std::map<std::string, std::string>& variables = {});

/// Parses a duration such as "250ms", "1.5s", "2min" or "1h". Throws a `ConfigError` that quotes an invalid text.
Time parse_duration(std::string_view text);

/// Reads one object of a configuration. Read each field, then call `reject_unknown_fields()`.
class JsonnetReader {
public:
    /// `path` is the object's position in the file, such as `pool.limits`; empty for the whole file.
    JsonnetReader(const boost::json::value& value, std::string file, std::string path = "");

    /// True if the field is present and not null.
    bool has(std::string_view key) const;

    /// Reads a field into `into`, which keeps its value if the field is absent or null.
    void read(std::string_view key, std::string& into);
    void read(std::string_view key, bool& into);
    void read(std::string_view key, Time& into);
    void read(std::string_view key, double& into);  ///< Rejects negative numbers.
    void read(std::string_view key, int& into, int min = 0);
    void read(std::string_view key, std::size_t& into, std::size_t min = 0);

    /// Reads a field that must be present.
    template <class T>
    void require(std::string_view key, T& into) {
        if (!has(key)) fail(key, "is missing");
        read(key, into);
    }

    /// Reads a string that must be one of the keys of `names`.
    template <class T>
    void read_enum(std::string_view key, const std::map<std::string, T>& names, T& into) {
        std::map<std::string, int> values;
        for (const auto& [name, value] : names) values[name] = static_cast<int>(value);
        int chosen = static_cast<int>(into);
        read_enum(key, values, chosen);
        into = static_cast<T>(chosen);
    }
    void read_enum(std::string_view key, const std::map<std::string, int>& names, int& into);

    /// Reads a nested object, empty if it is absent.
    void read_object(std::string_view key, const std::function<void(JsonnetReader&)>& read_fields);
    /// Reads an array of objects.
    void read_array(std::string_view key, const std::function<void(JsonnetReader&)>& read_element);
    /// Reads an object of objects: each member's name and its reader.
    void read_members(std::string_view key, const std::function<void(const std::string&, JsonnetReader&)>& read_member);
    /// Returns the field's JSON value, or null if it is absent.
    const boost::json::value* raw(std::string_view key);

    void reject_unknown_fields() const;
    /// Throws a `ConfigError` with file, path, key and `problem`. An empty key stands for the object itself.
    [[noreturn]] void fail(std::string_view key, const std::string& problem) const;

private:
    const boost::json::value* find(std::string_view key);
    std::string path_of(std::string_view key) const;
    [[noreturn]] void fail_type(std::string_view key, const boost::json::value& found,
                                const std::string& expected) const;

    const boost::json::object* object_;
    const std::string file_, path_;
    std::set<std::string, std::less<>> known_fields_;
};

}  // namespace plumkeel
