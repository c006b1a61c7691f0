// FastCGI 1.0 as an application in the role Responder speaks it, many requests on a connection: bytes in,
// messages or a named fault out, and answers as bytes. Free of I/O and clocks. All names of that protocol end
// here and in visit.cpp.
//
// Nothing is kept of a record but its head and what belongs to an open message, within the bounds given.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace plumkeel::fastcgi {

struct Bounds {
    std::size_t params = 8 * 1024;   // bytes of a message's parameters
    std::size_t body = 16 * 1024;    // and of its body
    std::size_t open = 32;           // messages coming at once on a connection
    std::size_t values = 512;        // of a management record
};

// Why a message is not taken.
enum class Wrong {
    none,
    role,       // not a Responder
    too_many,   // open on this connection
    params,     // malformed or over the bound
    too_big,    // the body
    twice,      // a number that is open already
};

struct Message {
    std::uint16_t number{};
    bool keep{};  // the connection stays after the answer
    std::string params, body;
};

// What came, for whoever reads the connection.
class Told {
public:
    virtual ~Told() = default;
    virtual void begun(std::uint16_t number) = 0;
    virtual void whole(Message message) = 0;
    virtual void wrong(std::uint16_t number, Wrong why, bool keep) = 0;
    virtual void taken_back(std::uint16_t number) = 0;  // also one that is whole already
    virtual void asks_values(std::string_view names) = 0;
    virtual void unknown(std::uint8_t type) = 0;  // of a management record
    // Whether a number is whole and not answered yet.
    virtual bool answering(std::uint16_t number) const = 0;
};

class Intake {
public:
    explicit Intake(Bounds bounds) : bounds_(bounds) {}

    // False: what comes is no FastCGI, and the connection can't be read further.
    bool feed(std::string_view bytes, Told& told);
    // In the middle of a record, and of a record or a message; how many records have come whole.
    bool in_record() const { return head_.size() > 0 || left_ > 0; }
    bool midway() const { return in_record() || !coming_.empty(); }
    std::uint64_t records() const { return records_; }
    std::size_t ahead() const { return ahead_; }  // bytes behind those that a call of Told is about, of the same feed()
    // The numbers of the messages that have begun and are not whole.
    std::vector<std::uint16_t> unfinished() const;
    std::size_t thrown_away() const { return thrown_away_; }  // bytes of what is not taken, over its life
    std::size_t held() const { return held_; }                // bytes of messages that are coming
    void forget(std::uint16_t number);

private:
    struct Coming {
        Message message;
        bool params_whole{};
    };

    bool head_whole(Told& told);
    void content(std::string_view bytes, Told& told);
    void record_whole(Told& told);
    void begin(Told& told);
    void refuse(std::uint16_t number, Wrong why, bool keep, Told& told);

    const Bounds bounds_;
    std::string head_;          // of the record that comes, as far as it is there
    std::uint8_t type_{};
    std::uint16_t number_{};
    std::size_t length_{}, left_{}, padding_{};  // of its content; still to come, with padding
    std::string small_;         // content of a record that is not part of a message
    std::map<std::uint16_t, Coming> coming_;
    std::size_t thrown_away_{}, held_{};
    std::uint64_t records_{};
    std::size_t ahead_{};
};

// Name and value pairs; nothing where the text is malformed.
std::optional<std::vector<std::pair<std::string_view, std::string_view>>> pairs(std::string_view text);

// An answer's records. A body longer than a record takes several.
std::string out_records(std::uint16_t number, std::string_view text);
std::string end_records(std::uint16_t number, std::uint32_t app_status, std::uint8_t protocol_status, bool close_out);
constexpr std::uint8_t complete = 0, overloaded = 2, unknown_role = 3;
std::string values_record(std::string_view asked, std::size_t connections, std::size_t messages);
std::string unknown_record(std::uint8_t type);

}  // namespace plumkeel::fastcgi
