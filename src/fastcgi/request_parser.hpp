/// Parser of the FastCGI records that a web server sends, many requests at once on a connection: bytes in, complete
/// requests or a RequestError out. Free of I/O and clocks.
///
/// Of a record only its header is buffered, and what belongs to an incomplete request, within the limits given.
#pragma once

#include <map>

#include "fastcgi/records.hpp"

namespace plumkeel::fastcgi {

struct ParserLimits {
    std::size_t params_bytes = 8 * 1024;  // of one request's parameters
    std::size_t body_bytes = 16 * 1024;   // of one request's body
    std::size_t max_requests = 32;        // incomplete at once on a connection
    std::size_t values_bytes = 512;       // of a management record; more is cut off
};

/// Why a request is not accepted by the parser.
enum class RequestError {
    none,
    unsupported_role,   // not a Responder
    too_many_requests,  // incomplete on this connection
    bad_parameters,     // too large, or out of order
    body_too_big,
    duplicate_id,  // an id that is in use on this connection
};
/// For logs and test output.
std::string_view name_of(RequestError error);

struct RequestMessage {
    std::uint16_t request_id{};
    bool keep_connection{};  // the connection stays open after the response
    std::string params;      // name-value pairs, not checked yet
    std::string body;
};

/// Receives what the parser finds, in the order of the bytes, during RequestParser::feed().
class ParserHandler {
public:
    virtual ~ParserHandler() = default;
    virtual void on_request_begun(std::uint16_t request_id) = 0;
    virtual void on_request(RequestMessage message) = 0;
    virtual void on_request_error(std::uint16_t request_id, RequestError error, bool keep_connection) = 0;
    /// Also for a request that is complete already, or unknown.
    virtual void on_abort(std::uint16_t request_id) = 0;
    virtual void on_get_values(std::string_view names) = 0;
    /// A management record of a type that is not supported.
    virtual void on_unknown_type(std::uint8_t type) = 0;
    /// Whether this request is complete and has no response yet.
    virtual bool is_pending(std::uint16_t request_id) const = 0;
};

class RequestParser {
public:
    explicit RequestParser(ParserLimits limits) : limits_(limits) {}

    /// False: the bytes are not FastCGI, and the connection can't be read further.
    bool feed(std::string_view bytes, ParserHandler& handler);
    bool in_record() const { return !header_.empty() || record_bytes_left_ > 0; }
    bool in_request() const { return in_record() || !incomplete_.empty(); }
    /// Complete records so far.
    std::uint64_t record_count() const { return record_count_; }
    /// During a callback: how many bytes of the same feed() lie behind those that it is about.
    std::size_t bytes_ahead() const { return bytes_ahead_; }
    /// Ids of the requests that have begun and are not complete, ascending.
    std::vector<std::uint16_t> incomplete_requests() const;
    /// Bytes of content that belonged to no accepted request, over the parser's life.
    std::size_t discarded_bytes() const { return discarded_bytes_; }
    /// Bytes buffered of incomplete requests.
    std::size_t held_bytes() const { return held_bytes_; }
    /// Drops an incomplete request; what still arrives of it is discarded.
    void discard(std::uint16_t request_id);

private:
    struct IncompleteRequest {
        RequestMessage message;
        bool params_complete{};
    };
    using IncompleteRequests = std::map<std::uint16_t, IncompleteRequest>;

    bool read_header(std::string_view& bytes, ParserHandler& handler);
    void read_content(std::string_view& bytes, ParserHandler& handler);
    void add_content(std::string_view content, ParserHandler& handler);
    void add_stream_content(IncompleteRequest& request, std::string_view content, ParserHandler& handler);
    void finish_record(ParserHandler& handler);
    void finish_management_record(ParserHandler& handler);
    void begin_request(ParserHandler& handler);
    void end_params(ParserHandler& handler);
    void end_body(ParserHandler& handler);
    void reject(RequestError error, bool keep_connection, ParserHandler& handler);

    const ParserLimits limits_;
    std::string header_;               // of the record that is arriving, until it is complete
    RecordHeader record_;              // the record whose content is arriving
    std::size_t record_bytes_left_{};  // of its content and padding
    std::string record_content_;       // of a record that is no part of a request's streams
    IncompleteRequests incomplete_;
    std::size_t discarded_bytes_{}, held_bytes_{};
    std::uint64_t record_count_{};
    std::size_t bytes_ahead_{};
};

}  // namespace plumkeel::fastcgi
