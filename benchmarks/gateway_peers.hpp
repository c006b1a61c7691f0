/// What stands beside the gateway in its benchmark: an invoker that answers at once, and a bare pass-through of bytes
/// as the baseline. Each runs in a process of its own until it is killed.
#pragma once

#include <cstdint>
#include <string_view>

#include "net/event_loop.hpp"

namespace plumkeel::benchmarks {

constexpr std::uint16_t invoker_port = 17501, gateway_port = 17502, pass_through_port = 17503;

/// `answers`: else it answers only health checks.
void run_invoker(bool answers);
/// Passes bytes from the client to the invoker and back and reads nothing in them.
void run_pass_through();

void write(net::Stream& stream, std::string_view text);

}  // namespace plumkeel::benchmarks
