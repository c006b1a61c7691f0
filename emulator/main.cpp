/// plumkeel-emulator: emulates the systems around a controller, one per process.
#include <CLI/CLI.hpp>
#include <iostream>

#include "config/jsonnet_reader.hpp"
#include "emulator/processes.hpp"

int main(int argc, char** argv) {
    using namespace plumkeel::emulator;
    CLI::App app(
        "plumkeel-emulator: emulates an invoker, Consul, a function store, a remote write receiver or clients; reads "
        "commands from standard input");
    app.require_subcommand(1);
    std::string settings_file, record_file = "/dev/null";
    std::map<CLI::App*, int (*)(const std::string&, const std::string&)> services = {
        {app.add_subcommand("invoker", "an invoker that loads functions on demand and emulates their run time"),
         run_invoker},
        {app.add_subcommand("list", "Consul's health endpoint"), run_consul},
        {app.add_subcommand("store", "the store from which invokers fetch functions"), run_function_store},
        {app.add_subcommand("receiver", "a receiver of Prometheus remote write that checks each message strictly"),
         run_remote_write_receiver},
        {app.add_subcommand("clients", "clients that send requests at a given rate"), run_client_load}};
    for (auto& [subcommand, run] : services) {
        subcommand->add_option("settings", settings_file, "settings file, Jsonnet or JSON")->required();
        subcommand->add_option("--record", record_file, "file to which events are appended as JSON lines");
    }
    CLI11_PARSE(app, argc, argv);
    try {
        for (auto& [subcommand, run] : services)
            if (*subcommand) return run(settings_file, record_file);
    } catch (const std::exception& error) {
        std::cerr << "plumkeel-emulator: " << error.what() << '\n';
        return 2;
    }
    return 2;
}
