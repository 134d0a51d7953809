#pragma once

#include "base/result.h"

#include <fstream>
#include <memory>
#include <string>

namespace Tracing {

/// Output for the lines of a trace. It is used by one thread only.
class LineSink
{
public:
    virtual ~LineSink() = default;
    /// Writes one \a line, which has no line feed.
    virtual void write(const std::string &line) = 0;
};

/// Error: the file cannot be opened for writing.
struct CannotOpenTraceFile
{
    std::string file;
};

/// Appends lines to a file, a pipe or /dev/stderr, and flushes after each line.
class FileLineSink final : public LineSink
{
public:
    /// Opens \a file. Fails with CannotOpenTraceFile.
    static Base::Result<std::unique_ptr<FileLineSink>> open(const std::string &file);
    void write(const std::string &line) override;

private:
    explicit FileLineSink(std::ofstream stream)
        : m_stream(std::move(stream))
    {}

    std::ofstream m_stream;
};

} // namespace Tracing
