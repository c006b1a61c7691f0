/// Connects the scheduler to the simulator: for each line of JSON on standard input, prints one line of JSON. The
/// format is defined in `wire.hpp`.
#include <iostream>
#include <string>

#include "simulator_adapter/adapter.hpp"

int main() {
    using plumkeel::simulator_adapter::json;
    std::ios::sync_with_stdio(false);
    plumkeel::simulator_adapter::Adapter adapter;
    std::string line;
    std::uint64_t line_number = 0;
    while (std::getline(std::cin, line)) {
        ++line_number;
        if (line.empty()) continue;
        try {
            std::cout << adapter.handle(json::parse(line)).dump() << '\n' << std::flush;
        } catch (const json::parse_error&) {
            std::cerr << "plumkeel_simulator_adapter: line " << line_number << ": not valid JSON\n";
            return 1;
        } catch (const std::exception& error) {
            std::cerr << "plumkeel_simulator_adapter: line " << line_number << ": " << error.what() << '\n';
            return 1;
        }
    }
    return 0;
}
