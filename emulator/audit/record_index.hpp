/// The records of all processes of a scenario in order of time, and what the auditor's checks look up in them. Free of
/// I/O: it reads nothing of the controllers' own logs.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plumkeel::emulator {

/// One line of a record.
struct RecordedEvent {
    std::int64_t time_us{};  // of the machine's monotonic clock
    std::string source, process;
    std::string name;  // of event::
    boost::json::object fields;

    bool is(std::string_view event_source, std::string_view event_name) const {
        return source == event_source && name == event_name;
    }
    bool has(std::string_view key) const { return fields.if_contains(key) != nullptr; }
    // Fields; empty or 0 where there is none.
    std::string text(std::string_view key) const;
    std::int64_t integer(std::string_view key) const;
    double real(std::string_view key) const;
    bool flag(std::string_view key) const;
};

/// An attempt that an invoker received.
struct RecordedAttempt {
    std::int64_t number{}, received_us{};
    std::int64_t ended_us{};  // it was answered or cut, or its caller closed the connection; 0: none of these
    std::string invoker;
    std::string result;  // of attempt_result::; empty: not answered

    bool is_known_not_run() const;
};

/// What invokers saw of a controller's request, and the answer that its client saw.
struct RecordedRequest {
    std::string request_class;
    std::vector<RecordedAttempt> attempts;
    const RecordedEvent* answer{};
};

class RecordIndex {
public:
    /// `source` and `process` name the file: "invoker" and "i3".
    void add(const std::string& source, const std::string& process, const boost::json::object& line);
    /// To be called once, when all is added.
    void build();

    const std::vector<RecordedEvent>& events() const { return events_; }
    /// By "controller/incarnation#number".
    const std::map<std::string, RecordedRequest>& requests() const { return requests_; }
    static std::string request_key(const RecordedEvent& event);
    std::int64_t start_us() const { return events_.empty() ? 0 : events_.front().time_us; }

    /// How late the records of a process may be at that time, since it was delayed itself.
    std::int64_t lag_near(std::string_view source, const std::string& process, std::int64_t time_us) const;
    /// How long past that time a frozen controller may answer: nothing is required of it while it can't run.
    std::int64_t frozen_past(const std::string& controller_address, std::int64_t time_us) const;
    bool controller_died(const std::string& controller_address, std::int64_t from_us, std::int64_t to_us) const;

private:
    struct TimeSpan {
        std::int64_t from_us{}, to_us{};
    };
    struct Lag {
        std::int64_t time_us{}, duration_us{};
    };

    void index_process_event(const RecordedEvent& event);
    void index_attempt_event(const RecordedEvent& event);
    void index_answer(const RecordedEvent& event);

    std::vector<RecordedEvent> events_;
    std::map<std::string, RecordedRequest> requests_;
    std::map<std::string, std::vector<Lag>> lags_;        // by source and process
    std::map<std::string, std::vector<TimeSpan>> kills_;  // by address: from the signal to when it was surely dead
    std::map<std::string, std::vector<TimeSpan>> freezes_;
};

}  // namespace plumkeel::emulator
