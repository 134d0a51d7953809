#include "slopes/report.h"

#include <cstdio>

namespace Slopes {

void Report::begin() const
{
    if (m_isCsv)
        std::puts("subject,shape,value,unit");
}

void Report::add(const Figure &figure) const
{
    const char *format = m_isCsv ? "%s,%s,%.3f,%s\n" : "%-34s %-34s %14.3f %s\n";
    std::printf(format, figure.subject.c_str(), figure.shape.c_str(), figure.value,
                figure.unit.c_str());
    std::fflush(stdout);
}

} // namespace Slopes
