/// \file
/// Trace files on disk.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "trace/format.hpp"

namespace plumkeel::trace {

/// Appends to a new file with write(2). Throws TraceError that names the file and the system's error.
class FileSink : public Sink {
public:
    /// Creates the file; one that exists already is an error.
    explicit FileSink(std::string name);
    ~FileSink() override;
    FileSink(const FileSink&) = delete;
    FileSink& operator=(const FileSink&) = delete;

    void append(std::string_view bytes) override;

private:
    const std::string name_;
    int descriptor_;
};

/// Makes the sink of a new file. The recorder takes one, so that tests can replace the disk.
using MakeSink = std::function<std::unique_ptr<Sink>(const std::string& name)>;

/// Reads from a file. Throws TraceError that names the file and the system's error.
class FileSource : public Source {
public:
    explicit FileSource(std::string name);
    ~FileSource() override;
    FileSource(const FileSource&) = delete;
    FileSource& operator=(const FileSource&) = delete;

    /// The size when the file was opened: a writer may still append.
    std::uint64_t size() const override { return size_; }
    std::string read(std::uint64_t offset, std::size_t bytes) const override;

private:
    const std::string name_;
    int descriptor_;
    std::uint64_t size_{};
};

}  // namespace plumkeel::trace
