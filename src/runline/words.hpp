// The lines that controllers and invokers of the platform exchange: hops, stops and probes as bytes, and bytes of
// answers as messages or a named fault. Free of I/O and clocks. All words of that protocol end here.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/types.hpp"

namespace plumkeel::runline {

// Ids, use cases, functions and keys must hold no space, comma, equals sign or line end: the clients' edge sees to it.
// The idempotency key of a request that has none is empty.
std::string run(std::string_view id, std::string_view use_case, std::string_view function, std::string_view idempotency_key,
                std::int64_t patience_ms, std::size_t body_bytes);
std::string stop(std::string_view id);
std::string probe(std::string_view tag, bool with_report);
constexpr std::string_view body_end = "\r\n";

struct Answer {
    std::string id, word, fields, body;
};

enum class Broken { none, line_too_long, not_a_line, length, too_big, no_end };
const char* word_of(Broken broken);

class Reader {
public:
    // A line or a body beyond these is a fault.
    Reader(std::size_t line_most, std::size_t body_most) : line_most_(line_most), body_most_(body_most) {}

    // Takes bytes until an answer is whole, and removes them from `bytes`. True: `answer` holds it.
    bool next(std::string_view& bytes, Answer& answer);
    Broken broken() const { return broken_; }
    bool midway() const { return !line_.empty() || in_body_; }

private:
    bool read_line();
    bool fault(Broken broken) {
        broken_ = broken;
        return false;
    }

    const std::size_t line_most_, body_most_;
    std::string line_;
    Answer coming_;
    bool in_body_{};
    std::size_t left_{};  // of the body and its line end
    Broken broken_{};
};

// What an answer says of its hop.
Ending ending_of(std::string_view word);
Note note_of(std::string_view fields);
int company_of(std::string_view fields);
// Under the names of report fields that the settings give.
Report report_of(std::string_view fields, const std::vector<std::string>& names);

}  // namespace plumkeel::runline
