/// \file
/// A trace file in memory that can be written and read.
#pragma once

#include "trace/format.hpp"

namespace plumkeel {

struct MemoryFile : trace::Sink, trace::Source {
    std::string bytes;

    MemoryFile() = default;
    explicit MemoryFile(std::string text) : bytes(std::move(text)) {}
    void append(std::string_view appended) override { bytes += appended; }
    std::uint64_t size() const override { return bytes.size(); }
    std::string read(std::uint64_t offset, std::size_t length) const override {
        return offset >= bytes.size() ? std::string() : bytes.substr(offset, length);
    }
};

}  // namespace plumkeel
