/// The exception type of the durable queue.
#pragma once

#include <stdexcept>

namespace plumkeel::remote_write {

/// Thrown if the queue's files can't be read or written. what() names the failed operation or the file, and the cause.
struct QueueError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

}  // namespace plumkeel::remote_write
