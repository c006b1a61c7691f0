#include "net/signal_block.hpp"

#include <utility>

namespace plumkeel::net {

SignalBlock::SignalBlock(std::initializer_list<int> numbers) {
    sigset_t mask;
    ::sigemptyset(&mask);
    for (const int number : numbers) ::sigaddset(&mask, number);
    ::pthread_sigmask(SIG_BLOCK, &mask, &previous_mask_);
}

SignalBlock::~SignalBlock() {
    release();
}

void SignalBlock::release() {
    if (std::exchange(released_, true)) return;
    ::pthread_sigmask(SIG_SETMASK, &previous_mask_, nullptr);
}

}  // namespace plumkeel::net
