/// The other processes of the gateway's benchmark: an invoker that answers immediately, and a proxy that passes bytes
/// through, which is the baseline for the gateway.
#pragma once

#include <cstdint>
#include <string_view>

#include "net/event_loop.hpp"

namespace plumkeel::benchmarks {

constexpr std::uint16_t invoker_port = 17501, gateway_port = 17502, pass_through_port = 17503;

/// Runs an invoker until the process is killed. Without `answers`, it answers only health checks.
void run_invoker(bool answers);
/// Runs a proxy until the process is killed. It copies bytes between client and invoker without parsing them.
void run_pass_through();

/// Writes the part of the text that fits into the send buffer without waiting.
void write(net::Stream& stream, std::string_view text);

}  // namespace plumkeel::benchmarks
