/// Entry points of the emulated services; main.cpp runs one per process. Each reads its settings from a Jsonnet or JSON
/// file, writes its events to `record_file`, and returns an exit status.
#pragma once

#include <string>

namespace plumkeel::emulator {

int run_invoker(const std::string& settings_file, const std::string& record_file);
int run_consul(const std::string& settings_file, const std::string& record_file);
int run_remote_write_receiver(const std::string& settings_file, const std::string& record_file);
int run_function_store(const std::string& settings_file, const std::string& record_file);
int run_client_load(const std::string& settings_file, const std::string& record_file);

}  // namespace plumkeel::emulator
