#pragma once

#include <string>
#include <vector>

namespace Metrics::Internal {

struct Label
{
    std::string name;
    std::string value;
};

bool isMetricName(const std::string &name);
bool isLabelName(const std::string &name);
/// Shortest text that reads back as \a value; "+Inf", "-Inf" and "NaN" for the rest.
std::string formatNumber(double value);
/// The lines "# HELP" and "# TYPE".
std::string formatHeader(const std::string &name, const std::string &help, const std::string &type);
/// One line: NAME{LABELS} VALUE.
std::string formatSample(const std::string &name, const std::vector<Label> &labels, double value);

} // namespace Metrics::Internal
