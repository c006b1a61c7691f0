/// Blocks signals while a program installs its handlers.
#pragma once

#include <csignal>
#include <initializer_list>

namespace plumkeel::net {

/// Keeps signals pending in this thread, and in threads that it starts meanwhile, until release(). Without it, a signal
/// that arrives before its handler is installed could end the program or be lost (pthread_sigmask(3), signal(7)).
class SignalBlock {
public:
    explicit SignalBlock(std::initializer_list<int> numbers);
    ~SignalBlock();
    SignalBlock(const SignalBlock&) = delete;
    SignalBlock& operator=(const SignalBlock&) = delete;

    /// Restores the previous signal mask; further calls do nothing.
    void release();

private:
    sigset_t previous_mask_{};
    bool released_{};
};

}  // namespace plumkeel::net
