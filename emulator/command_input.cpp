#include "emulator/command_input.hpp"

#include <optional>
#include <sstream>

namespace plumkeel::emulator {
namespace {

Command parse_command(const std::string& line) {
    Command command;
    std::istringstream input(line);
    for (std::string word; input >> word;) {
        const auto equals = word.find('=');
        if (equals == std::string::npos)
            command.words.push_back(word);
        else
            command.options[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return command;
}

}  // namespace

double Command::number(const std::string& key, double fallback) const {
    const auto found = options.find(key);
    return found == options.end() ? fallback : std::stod(found->second);
}

std::chrono::milliseconds Command::milliseconds(const std::string& key, double fallback) const {
    return std::chrono::milliseconds(static_cast<int>(number(key, fallback)));
}

std::string Command::text(const std::string& key, const std::string& fallback) const {
    const auto found = options.find(key);
    return found == options.end() ? fallback : found->second;
}

void read_commands(net::SocketEventLoop& loop, std::function<void(const Command&)> handler) {
    loop.on_input_line([&loop, handler = std::move(handler)](std::optional<std::string> line) {
        if (!line) return loop.stop();
        const Command command = parse_command(*line);
        if (command.words.empty()) return;
        if (command.verb() == "quit") return loop.stop();
        handler(command);
    });
}

}  // namespace plumkeel::emulator
