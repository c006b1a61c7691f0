/// \file
/// Implementations of Sink and Source for trace files on disk.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "trace/format.hpp"

namespace plumkeel::trace {

/// Appends to a new file with write(2). A TraceError contains the file name and the system's error message.
class FileSink : public Sink {
public:
    /// Creates the file. Throws TraceError if it already exists.
    explicit FileSink(std::string name);
    ~FileSink() override;
    FileSink(const FileSink&) = delete;
    FileSink& operator=(const FileSink&) = delete;

    void append(std::string_view bytes) override;

private:
    const std::string name_;
    int descriptor_;
};

/// Creates the sink for a new file. Tests pass a factory of their own to Recorder to simulate disk errors.
using SinkFactory = std::function<std::unique_ptr<Sink>(const std::string& name)>;

/// Reads from a file. A TraceError contains the file name and the system's error message.
class FileSource : public Source {
public:
    explicit FileSource(std::string name);
    ~FileSource() override;
    FileSource(const FileSource&) = delete;
    FileSource& operator=(const FileSource&) = delete;

    /// The file size at the time of opening. The file may grow afterwards.
    std::uint64_t size() const override { return size_; }
    std::string read(std::uint64_t offset, std::size_t bytes) const override;

private:
    const std::string name_;
    int descriptor_;
    std::uint64_t size_{};
};

}  // namespace plumkeel::trace
