/// The records of all processes of a scenario, sorted by time, with lookups for the auditor's checks. Does no I/O.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plumkeel::emulator {

/// One line of a record file.
struct RecordedEvent {
    std::int64_t time_us{};  // monotonic clock
    std::string source, process;
    std::string name;  // a constant of namespace event
    boost::json::object fields;

    bool is(std::string_view event_source, std::string_view event_name) const {
        return source == event_source && name == event_name;
    }
    bool has(std::string_view key) const { return fields.if_contains(key) != nullptr; }
    // The accessors return the value of a field, or "", 0 or false if there is none. integer() also parses strings.
    std::string text(std::string_view key) const;
    std::int64_t integer(std::string_view key) const;
    double real(std::string_view key) const;
    bool flag(std::string_view key) const;
};

/// An attempt that an invoker received.
struct RecordedAttempt {
    std::int64_t number{}, received_us{};
    std::int64_t ended_us{};  // when it was answered or its connection was closed; 0: neither
    std::string invoker;
    std::string result;  // a constant of namespace attempt_result; empty: not answered

    /// Returns whether the invoker answered that the function did not run.
    bool is_known_not_run() const;
};

/// The attempts of one request that invokers received, and the answer that the client received.
struct RecordedRequest {
    std::string request_class;
    std::vector<RecordedAttempt> attempts;
    const RecordedEvent* answer{};  // null: the client received none
};

class RecordIndex {
public:
    /// Adds one line of the record file of a process, for example source "invoker" and process "i3".
    void add(const std::string& source, const std::string& process, const boost::json::object& line);
    /// Sorts and indexes the events. Call it once, after the last add().
    void build();

    const std::vector<RecordedEvent>& events() const { return events_; }
    /// The key is that of request_key().
    const std::map<std::string, RecordedRequest>& requests() const { return requests_; }
    /// Returns "controller/incarnation#number" for an event of a request.
    static std::string request_key(const RecordedEvent& event);
    std::int64_t start_us() const { return events_.empty() ? 0 : events_.front().time_us; }

    /// Returns the longest scheduling delay that the process recorded around `time_us`, or 0. Its other records of that
    /// time may be late by as much.
    std::int64_t longest_lag_us(std::string_view source, const std::string& process, std::int64_t time_us) const;
    /// Returns how long after `time_us` the controller stayed frozen, or 0. A frozen process cannot answer in time.
    std::int64_t remaining_freeze_us(const std::string& controller_address, std::int64_t time_us) const;
    /// Returns whether the controller was killed between the two times.
    bool was_controller_killed(const std::string& controller_address, std::int64_t from_us, std::int64_t to_us) const;

private:
    struct TimeSpan {
        std::int64_t from_us{}, to_us{};
    };
    /// A scheduling delay of a process.
    struct Lag {
        std::int64_t end_us{}, duration_us{};
    };

    void index_process_event(const RecordedEvent& event);
    void index_attempt_event(const RecordedEvent& event);
    void index_answer(const RecordedEvent& event);

    std::vector<RecordedEvent> events_;
    std::map<std::string, RecordedRequest> requests_;
    std::map<std::string, std::vector<Lag>> lags_;          // key: process_key()
    std::map<std::string, std::vector<TimeSpan>> kills_;    // key: controller address; from the signal to the exit
    std::map<std::string, std::vector<TimeSpan>> freezes_;  // key: controller address
};

}  // namespace plumkeel::emulator
