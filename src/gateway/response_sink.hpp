/// Where a client's edge receives the response to one request. src/web implements it for HTTP, src/fastcgi for FastCGI.
#pragma once

#include <string>
#include <string_view>

#include "net/event_loop.hpp"

namespace plumkeel::gateway {

struct ActiveRequest;

/// One client's connection, as the gateway sees it. A request gets either send_response(), send_rejection(), or
/// begin_stream() with any number of write_chunk() and one end_stream(). The gateway drops its reference as soon as the
/// response is final or the client has disconnected, and calls nothing after that.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;

    /// A whole response of an invoker. `forwarded_headers`: header lines of it that go on to the client.
    virtual void send_response(const ActiveRequest& request, unsigned status, std::string_view forwarded_headers,
                               std::string body) = 0;
    /// The gateway's own final response: request.state says whether the request was rejected (it had no effect) or
    /// failed (it may have had one).
    virtual void send_rejection(const ActiveRequest& request) = 0;

    virtual void begin_stream(const ActiveRequest& request, unsigned status, std::string_view forwarded_headers) = 0;
    virtual void write_chunk(const ActiveRequest& request, std::string bytes) = 0;
    /// `complete`: false where the rest of the response can't come; the client must be able to tell.
    virtual void end_stream(const ActiveRequest& request, bool complete) = 0;

    /// Whether the client has sent bytes, perhaps the end of its connection, that are not read yet.
    virtual bool has_unread_input() { return false; }
    /// Waits until there is room for more chunks; false when the client has disconnected.
    virtual net::Task<bool> wait_writable() = 0;
};

}  // namespace plumkeel::gateway
