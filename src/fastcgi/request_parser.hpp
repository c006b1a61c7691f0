/// Incremental parser of the FastCGI records that a web server sends, with many requests multiplexed on a connection.
/// Reports complete requests or a RequestError. Free of I/O and clocks.
///
/// Buffers record headers, management records and incomplete requests, within ParserLimits.
#pragma once

#include <limits>
#include <map>

#include "fastcgi/records.hpp"

namespace plumkeel::fastcgi {

struct ParserLimits {
    std::size_t params_bytes = 8 * 1024;        // largest size of a request's parameters
    std::size_t body_bytes = 16 * 1024;         // largest size of a request's body
    std::size_t max_requests = 32;              // incomplete requests per connection
    std::size_t management_record_bytes = 512;  // content of a management record beyond this is ignored
};

/// Why a request is not accepted by the parser.
enum class RequestError {
    none,
    unsupported_role,   // the requested role is not Responder
    too_many_requests,  // too many requests are incomplete on this connection
    bad_parameters,     // the parameters are too large or arrive out of order
    body_too_big,
    duplicate_id,  // the id is in use on this connection
};
/// Name of the error for logs and test output.
std::string_view name_of(RequestError error);

struct RequestMessage {
    std::uint16_t request_id{};
    bool keep_connection{};  // the connection stays open after the response
    std::string params;      // name-value pairs, not checked yet
    std::string body;
};

/// Callbacks of RequestParser::feed(), in the order of the input.
class ParserHandler {
public:
    virtual ~ParserHandler() = default;
    virtual void on_request_begun(std::uint16_t request_id) = 0;
    virtual void on_request(RequestMessage message) = 0;
    virtual void on_request_error(std::uint16_t request_id, RequestError error, bool keep_connection) = 0;
    /// The client aborted a request; it may be incomplete, complete or unknown.
    virtual void on_abort(std::uint16_t request_id) = 0;
    virtual void on_get_values(std::string_view names) = 0;
    /// A record was ignored: it belongs to no request that is being received, or a Responder has no use for its type.
    virtual void on_ignored_record() = 0;
    /// A management record of an unsupported type arrived.
    virtual void on_unknown_type(std::uint8_t type) = 0;
    /// Whether this request is complete and has no response yet.
    virtual bool is_pending(std::uint16_t request_id) const = 0;
};

class RequestParser {
public:
    explicit RequestParser(ParserLimits limits) : limits_(limits) {}

    /// Parses the next input up to the end of the `max_records`th record, and removes what it parsed from `bytes`.
    /// Returns false if it is not FastCGI, after which feed() must not be called again.
    bool feed(std::string_view& bytes, ParserHandler& handler, std::uint64_t max_records);
    /// Like the other feed(), and parses all of the input.
    bool feed(std::string_view bytes, ParserHandler& handler) {
        return feed(bytes, handler, std::numeric_limits<std::uint64_t>::max());
    }
    bool in_record() const { return !header_.empty() || record_bytes_left_ > 0; }
    bool in_request() const { return in_record() || !incomplete_.empty(); }
    /// Number of complete records parsed so far.
    std::uint64_t record_count() const { return record_count_; }
    /// During a callback: how many bytes of this feed() call are not parsed yet.
    std::size_t unparsed_bytes() const { return unparsed_bytes_; }
    /// Ids of the requests that have begun and are not complete, ascending.
    std::vector<std::uint16_t> incomplete_requests() const;
    /// Total content bytes that belonged to no accepted request.
    std::size_t discarded_bytes() const { return discarded_bytes_; }
    /// Bytes buffered for incomplete requests.
    std::size_t held_bytes() const { return held_bytes_; }
    /// Drops an incomplete request; further records of it are discarded.
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
    std::string header_;               // header bytes received so far; empty while content is read
    RecordHeader record_;              // header of the record whose content is being read
    std::size_t record_bytes_left_{};  // content and padding bytes of the record still to read
    std::string record_content_;       // content of a record other than FCGI_PARAMS and FCGI_STDIN
    IncompleteRequests incomplete_;
    std::size_t discarded_bytes_{}, held_bytes_{};
    std::uint64_t record_count_{};
    std::size_t unparsed_bytes_{};
};

}  // namespace plumkeel::fastcgi
