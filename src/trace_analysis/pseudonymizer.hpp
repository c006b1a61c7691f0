/// \file
/// Replaces the names in a trace by tokens, so that the trace can be shared. Apart from names, a trace contains only
/// numbers and times; it never contains request or response bodies.
#pragma once

#include <optional>
#include <string>

#include "trace_analysis/name_table.hpp"

namespace plumkeel::trace_analysis {

/// Tokens are keyed hashes (HMAC). With the same key, equal names have equal tokens. Without the key, the name cannot
/// be found from the token.
class Pseudonymizer {
public:
    /// Throws TraceError if the key has less than 16 bytes.
    explicit Pseudonymizer(std::string key);

    /// Returns the record with tokens in place of names. Returns nothing for actions and wake records, which are needed
    /// only to replay a trace, and for unknown record types, which may contain names.
    std::optional<Record> pseudonymize(const Record& record) const;
    /// Returns a token such as "function-3f9a0c1b2d4e5f60" for the role "function"; empty for an empty name.
    std::string token(std::string_view role, const std::string& name) const;

private:
    const std::string key_;
};

}  // namespace plumkeel::trace_analysis
