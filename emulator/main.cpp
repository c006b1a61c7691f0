// plumkeel-stand: the outside systems of a controller, played by one process each.
#include <CLI/CLI.hpp>
#include <iostream>

#include "config/jsonnet_reader.hpp"
#include "emulator/common.hpp"

int main(int argc, char** argv) {
    using namespace plumkeel::emulator;
    CLI::App app(
        "plumkeel-stand: an invoker, a list, a store, a receiver or clients; commands come on the standard input");
    app.require_subcommand(1);
    std::string file, record = "/dev/null";
    std::map<CLI::App*, int (*)(const std::string&, const std::string&)> parts = {
        {app.add_subcommand("invoker", "loads functions on demand and pretends to work"), run_invoker},
        {app.add_subcommand("list", "Consul's health endpoint"), run_list},
        {app.add_subcommand("store", "where invokers fetch functions"), run_store},
        {app.add_subcommand("receiver", "takes remote write, and takes nothing on trust"), run_receiver},
        {app.add_subcommand("clients", "open-loop senders"), run_clients}};
    for (auto& [part, run] : parts) {
        part->add_option("settings", file, "Jsonnet or JSON")->required();
        part->add_option("--record", record, "file for what passes on the sockets");
    }
    CLI11_PARSE(app, argc, argv);
    try {
        for (auto& [part, run] : parts)
            if (*part) return run(file, record);
    } catch (const std::exception& fault) {
        std::cerr << "plumkeel-stand: " << fault.what() << '\n';
        return 2;
    }
    return 2;
}
