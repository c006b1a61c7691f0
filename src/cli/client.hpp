/// The commands that talk to a running gateway over HTTP: `status` and `send`.
#pragma once

#include <string>

namespace plumkeel::cli {

/// The exit statuses of `send`; `status` uses `success` and `no_response`.
enum ExitStatus : int { success = 0, no_response = 1, request_rejected = 3, request_failed = 4, request_refused = 5 };

/// One request, as the options of `send` describe it.
struct SendOptions {
    std::string function, request_class, tenant, idempotency_key;
    std::string body_file;         ///< `-`: standard input; empty: no body.
    std::string remaining = "4s";  ///< How long the client waits.
    int concurrency = 1;           ///< How many requests one copy of the function runs at once.
    int memory_mb = 0;             ///< Of a loaded copy; 0: not stated.
    bool is_client_retry{};
};

/// Prints the gateway's status. Returns an `ExitStatus`.
int status(const std::string& address);

/// Sends one request and prints the response's body; the outcome goes to standard error. Returns an `ExitStatus`:
/// `request_refused` if admission control did not take it, `request_rejected` if it may be sent again without harm,
/// `request_failed` if it may have run.
int send(const std::string& address, const SendOptions& options);

}  // namespace plumkeel::cli
