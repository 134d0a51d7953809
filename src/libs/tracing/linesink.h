#pragma once

#include "base/result.h"

#include <fstream>
#include <memory>
#include <string>

namespace Tracing {

/// Where the lines of a trace go. Called by one thread.
class LineSink
{
public:
    virtual ~LineSink() = default;
    virtual void write(const std::string &line) = 0;
};

/// The file cannot be opened for writing.
struct CannotOpenTraceFile
{
    std::string file;
};

/// Appends lines to a file, a pipe or /dev/stderr. Each line is handed to the system at once.
class FileLineSink final : public LineSink
{
public:
    /// Fails with CannotOpenTraceFile.
    static Base::Result<std::unique_ptr<FileLineSink>> open(const std::string &file);
    void write(const std::string &line) override;

private:
    explicit FileLineSink(std::ofstream stream)
        : m_stream(std::move(stream))
    {}

    std::ofstream m_stream;
};

} // namespace Tracing
