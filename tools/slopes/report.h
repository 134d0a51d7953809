#pragma once

#include <string>
#include <vector>

namespace Slopes {

/// One measurement.
struct Figure
{
    std::string subject;
    /// The input sizes of the measurement, such as "members=39 full".
    std::string shape;
    double value = 0;
    std::string unit;
};

/// Prints each figure at once, in aligned columns or as comma-separated values.
class Report
{
public:
    explicit Report(bool isCsv)
        : m_isCsv(isCsv)
    {}

    /// Prints the header line of comma-separated values.
    void begin() const;
    void add(const Figure &figure) const;

private:
    bool m_isCsv;
};

} // namespace Slopes
