/// HTTP/1.1 over net::Stream, with the message parsers of Boost.Beast and limits on the size of messages.
/// Convenience header that includes the package's other headers except exchange.hpp.
#pragma once

#include "http/headers.hpp"      // IWYU pragma: export
#include "http/read_buffer.hpp"  // IWYU pragma: export
#include "http/target.hpp"       // IWYU pragma: export
