/// \file
/// Replaces the names in a trace by tokens, so that it can be given away. What a trace holds besides names are numbers
/// and times; it never holds bodies of requests.
#pragma once

#include <optional>
#include <string>

#include "trace_analysis/name_table.hpp"

namespace plumkeel::trace_analysis {

/// Tokens are keyed hashes: with one key, equal names have equal tokens; without the key, a token does not reveal its
/// name.
class Pseudonymizer {
public:
    /// Throws TraceError if the key is too short to be safe.
    explicit Pseudonymizer(std::string key);

    /// The record without names. Nothing for actions and wakes, which serve only replay (and that depends on the
    /// names), and for types that this build does not know, as they may hold names.
    std::optional<Record> pseudonymize(const Record& record) const;
    /// As "function-3f9a0c1b2d4e5f60"; empty for an empty name.
    std::string token(std::string_view role, const std::string& name) const;

private:
    const std::string key_;
};

}  // namespace plumkeel::trace_analysis
