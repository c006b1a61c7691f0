// Names replaced by tokens of a keyed hash: the same name has the same token within a key, and without the key no
// token tells its name. What a trace holds besides names are numbers and times; bodies of jobs are never in it.
#pragma once

#include <optional>
#include <string>

#include "trace_analysis/name_table.hpp"

namespace plumkeel::trace_analysis {

class Pseudonymizer {
public:
    // Throws Fault where the key is under 16 bytes.
    explicit Pseudonymizer(std::string key);

    // The record without names; nothing where it serves only deciding again, which goes by names.
    std::optional<Record> pseudonymize(const Record& record);
    std::string token(std::string_view role, const std::string& name);  // such as "function-3f9a0c1b2d4e5f60"

private:
    const std::string key_;
};

}  // namespace plumkeel::trace_analysis
