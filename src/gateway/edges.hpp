/// The interfaces between the gateway and its protocols: ResponseSink for clients, ConnectionPool and UpstreamCall for
/// invokers. They are implemented for HTTP in src/web, and for the platform's protocols in src/fastcgi and
/// src/invoker_protocol. An implementation translates messages, enforces limits, and reports the results of calls; all
/// decisions about requests are made by the scheduler.
#pragma once

#include "gateway/connection_pool.hpp"
#include "gateway/response_sink.hpp"
#include "gateway/upstream_call.hpp"
