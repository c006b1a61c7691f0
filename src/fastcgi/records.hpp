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

struct ParserLimits {
    std::size_t params_bytes = 8 * 1024;  // bytes of a message's parameters
    std::size_t body_bytes = 16 * 1024;   // and of its body
    std::size_t max_requests = 32;        // messages coming at once on a connection
    std::size_t values_bytes = 512;       // of a management record
};

// Why a message is not taken.
enum class RequestError {
    none,
    unsupported_role,   // not a Responder
    too_many_requests,  // open on this connection
    bad_parameters,     // malformed or over the bound
    body_too_big,       // the body
    duplicate_id,       // a number that is open already
};

struct RequestMessage {
    std::uint16_t request_id{};
    bool keep_connection{};  // the connection stays after the answer
    std::string params, body;
};

// What came, for whoever reads the connection.
class ParserHandler {
public:
    virtual ~ParserHandler() = default;
    virtual void on_request_begun(std::uint16_t number) = 0;
    virtual void on_request(RequestMessage message) = 0;
    virtual void on_request_error(std::uint16_t number, RequestError why, bool keep) = 0;
    virtual void on_abort(std::uint16_t number) = 0;  // also one that is whole already
    virtual void on_get_values(std::string_view names) = 0;
    virtual void on_unknown_type(std::uint8_t type) = 0;  // of a management record
    // Whether a number is whole and not answered yet.
    virtual bool is_pending(std::uint16_t number) const = 0;
};

class RequestParser {
public:
    explicit RequestParser(ParserLimits bounds) : bounds_(bounds) {}

    // False: what comes is no FastCGI, and the connection can't be read further.
    bool feed(std::string_view bytes, ParserHandler& told);
    // In the middle of a record, and of a record or a message; how many records have come whole.
    bool in_record() const { return head_.size() > 0 || left_ > 0; }
    bool in_request() const { return in_record() || !incomplete_.empty(); }
    std::uint64_t records() const { return records_; }
    std::size_t bytes_ahead() const {
        return bytes_ahead_;
    }  // bytes behind those that a call of Told is about, of the same feed()
    // The numbers of the messages that have begun and are not whole.
    std::vector<std::uint16_t> unfinished() const;
    std::size_t discarded_bytes() const { return discarded_bytes_; }  // bytes of what is not taken, over its life
    std::size_t held_bytes() const { return held_bytes_; }            // bytes of messages that are coming
    void forget(std::uint16_t number);

private:
    struct Incomplete {
        RequestMessage message;
        bool params_whole{};
    };

    bool head_whole(ParserHandler& told);
    void content(std::string_view bytes, ParserHandler& told);
    void record_whole(ParserHandler& told);
    void begin(ParserHandler& told);
    void reject(std::uint16_t number, RequestError why, bool keep, ParserHandler& told);

    const ParserLimits bounds_;
    std::string head_;  // of the record that comes, as far as it is there
    std::uint8_t type_{};
    std::uint16_t number_{};
    std::size_t length_{}, left_{}, padding_{};  // of its content; still to come, with padding
    std::string small_;                          // content of a record that is not part of a message
    std::map<std::uint16_t, Incomplete> incomplete_;
    std::size_t discarded_bytes_{}, held_bytes_{};
    std::uint64_t records_{};
    std::size_t bytes_ahead_{};
};

// Name and value pairs; nothing where the text is malformed.
std::optional<std::vector<std::pair<std::string_view, std::string_view>>> parse_pairs(std::string_view text);

// An answer's records. A body longer than a record takes several.
std::string encode_stdout(std::uint16_t number, std::string_view text);
std::string encode_end_request(std::uint16_t number, std::uint32_t app_status, std::uint8_t protocol_status,
                               bool close_out);
constexpr std::uint8_t complete = 0, overloaded = 2, unknown_role = 3;
std::string encode_values(std::string_view asked, std::size_t connections, std::size_t messages);
std::string encode_unknown_type(std::uint8_t type);

}  // namespace plumkeel::fastcgi
