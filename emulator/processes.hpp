/// The emulated services, each run as a process of its own (main.cpp). Each takes a Jsonnet or JSON file of settings
/// and the file for its record, and returns an exit status.
#pragma once

#include <string>

namespace plumkeel::emulator {

int run_invoker(const std::string& settings_file, const std::string& record_file);
int run_consul(const std::string& settings_file, const std::string& record_file);
int run_remote_write_receiver(const std::string& settings_file, const std::string& record_file);
int run_function_store(const std::string& settings_file, const std::string& record_file);
int run_client_load(const std::string& settings_file, const std::string& record_file);

}  // namespace plumkeel::emulator
