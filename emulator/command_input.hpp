/// Commands that an emulator process reads from its standard input, one per line: "verb word key=value key=value".
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "net/socket_event_loop.hpp"

namespace plumkeel::emulator {

struct Command {
    std::vector<std::string> words;  ///< at least one; the first is the verb
    std::map<std::string, std::string> options;

    const std::string& verb() const { return words[0]; }
    /// Whether the word after the verb is "on".
    bool is_on() const { return words.size() > 1 && words[1] == "on"; }
    /// Returns the value of an option, or `fallback` if the command doesn't have it.
    double number(const std::string& key, double fallback) const;
    std::chrono::milliseconds milliseconds(const std::string& key, double fallback) const;
    std::string text(const std::string& key, const std::string& fallback = "") const;
};

/// Passes each command to `handler`. The command "quit" and the end of the input stop the event loop.
void read_commands(net::SocketEventLoop& loop, std::function<void(const Command&)> handler);

}  // namespace plumkeel::emulator
