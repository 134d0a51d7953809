#include "tracing/linesink.h"

#include <utility>

namespace Tracing {

Base::Result<std::unique_ptr<FileLineSink>> FileLineSink::open(const std::string &file)
{
    std::ofstream stream(file, std::ios::app);
    if (!stream)
        return boost::leaf::new_error(CannotOpenTraceFile{file});
    return std::unique_ptr<FileLineSink>(new FileLineSink(std::move(stream)));
}

void FileLineSink::write(const std::string &line)
{
    m_stream << line << '\n' << std::flush;
}

} // namespace Tracing
