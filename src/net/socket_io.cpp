#include "net/socket_io.hpp"

#include <poll.h>

#include <cerrno>

namespace plumkeel::net::socket_io {

bool is_readable(int descriptor) {
    pollfd request{descriptor, POLLIN, 0};
    int ready = 0;
    do ready = ::poll(&request, 1, 0);
    while (ready < 0 && errno == EINTR);
    return ready > 0 && (request.revents & POLLIN);
}

}  // namespace plumkeel::net::socket_io
