/// The interfaces between the gateway and the protocols at its two edges: ResponseSink towards clients, ConnectionPool
/// with its UpstreamCalls towards invokers. HTTP implements them in src/web, the platform's protocols in src/fastcgi
/// and src/invoker_protocol. An edge translates, enforces limits, and reports what is proven about a call; it decides
/// nothing.
#pragma once

#include "gateway/connection_pool.hpp"
#include "gateway/response_sink.hpp"
#include "gateway/upstream_call.hpp"
