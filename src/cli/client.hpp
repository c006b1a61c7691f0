/// The commands that talk to a running gateway over HTTP: `status` and `send`.
#pragma once

#include <string>

namespace plumkeel::cli {

/// Exit statuses of the command `send`. The command `status` uses only `success` and `no_response`.
enum ExitStatus : int {
    success = 0,           ///< `send`: the request succeeded; `status`: the document was received.
    no_response = 1,       ///< No response arrived; `status`: or its HTTP status wasn't 200.
    request_rejected = 3,  ///< The request did not run and may be sent again.
    request_failed = 4,    ///< The request failed and may have run.
    request_refused = 5    ///< Admission control refused the request: the response states a rejection reason.
};

/// The options of the command `send`, which describe one request.
struct SendOptions {
    std::string function, request_class, tenant, idempotency_key;
    std::string body_file;         ///< Path of the request body. `-`: standard input; empty: no body.
    std::string remaining = "4s";  ///< Duration until the request's deadline.
    int concurrency = 1;           ///< Number of requests that one copy of the function runs at once.
    int memory_mb = 0;             ///< Memory of one loaded copy of the function; 0: not stated.
    bool is_client_retry{};
};

/// Prints the status document of the gateway at `address`. Returns an `ExitStatus`.
int status(const std::string& address);

/// Sends one request and prints the response's body to standard output and the outcome to standard error. Returns an
/// `ExitStatus`: `request_refused` if admission control refused the request, `request_rejected` if it did not run and
/// may be sent again, `request_failed` if it may have run.
int send(const std::string& address, const SendOptions& options);

}  // namespace plumkeel::cli
