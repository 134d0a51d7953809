#pragma once

#include <string>
#include <vector>

namespace Slopes {

/// One measured number.
struct Figure
{
    std::string subject;
    /// The sizes that it was measured at.
    std::string shape;
    double value = 0;
    std::string unit;
};

/// Prints figures as they come, as aligned columns or as comma-separated values.
class Report
{
public:
    explicit Report(bool isCsv)
        : m_isCsv(isCsv)
    {}

    void begin() const;
    void add(const Figure &figure) const;

private:
    bool m_isCsv;
};

} // namespace Slopes
