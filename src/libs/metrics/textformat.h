#pragma once

#include <string>
#include <vector>

namespace Metrics::Internal {

/// A label of a sample, with its value.
struct Label
{
    std::string name;
    std::string value;
};

/// Returns whether the exposition format allows \a name for a metric.
bool isMetricName(const std::string &name);
/// Returns whether the exposition format allows \a name for a label.
bool isLabelName(const std::string &name);
/// Returns the shortest text that parses as \a value, or "+Inf", "-Inf" or "NaN".
std::string formatNumber(double value);
/// Returns the lines "# HELP" and "# TYPE".
std::string formatHeader(const std::string &name, const std::string &help, const std::string &type);
/// Returns one line "NAME{LABELS} VALUE".
std::string formatSample(const std::string &name, const std::vector<Label> &labels, double value);

} // namespace Metrics::Internal
