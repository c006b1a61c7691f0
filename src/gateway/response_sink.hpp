/// Interface by which the gateway responds to clients. src/web implements it for HTTP, src/fastcgi for FastCGI.
#pragma once

#include <string>
#include <string_view>

#include "net/event_loop.hpp"

namespace plumkeel::gateway {

struct ActiveRequest;

/// The connection of one client. For each request the gateway calls either send_response(), or send_rejection(), or
/// begin_stream() followed by any number of write_chunk() and one end_stream(). It makes no further call after the
/// final response, nor after the client has disconnected.
class ResponseSink {
public:
    virtual ~ResponseSink() = default;

    /// Sends a complete response of an invoker. `forwarded_headers`: its header lines to forward to the client.
    virtual void send_response(const ActiveRequest& request, unsigned status, std::string_view forwarded_headers,
                               std::string body) = 0;
    /// Sends the gateway's own final response. request.state tells whether the request was rejected (it had no effect)
    /// or failed (it may have had an effect).
    virtual void send_rejection(const ActiveRequest& request) = 0;

    virtual void begin_stream(const ActiveRequest& request, unsigned status, std::string_view forwarded_headers) = 0;
    virtual void write_chunk(const ActiveRequest& request, std::string bytes) = 0;
    /// `complete`: false if the response was interrupted, which the client must be able to detect.
    virtual void end_stream(const ActiveRequest& request, bool complete) = 0;

    /// Whether input from the client, or the end of its connection, is still unread.
    virtual bool has_unread_input() { return false; }
    /// Waits until there is room for more chunks. Returns false if the client has disconnected.
    virtual net::Task<bool> wait_writable() = 0;
};

}  // namespace plumkeel::gateway
