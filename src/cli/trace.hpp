// plumkeel trace: what a controller was told and decided, read back.
#pragma once

#include <string>
#include <vector>

namespace plumkeel::cli {

// Each returns the exit status: 0 well, 1 damage or a difference found. Throws trace::Fault.
int trace_verify(const std::vector<std::string>& files);
int trace_show(const std::vector<std::string>& files, std::uint64_t job);
int trace_redecide(const std::vector<std::string>& files, const std::vector<std::string>& changes);

}  // namespace plumkeel::cli
