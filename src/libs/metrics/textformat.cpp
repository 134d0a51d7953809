#include "metrics/textformat.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Metrics::Internal {

namespace {

bool isLetter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '_';
}

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

/// Escapes line feeds, backslashes and, in quoted text, quotation marks. Otherwise a label value
/// could end its line and inject another sample.
std::string escaped(const std::string &text, bool isQuoted)
{
    std::string result;
    for (const char c : text) {
        if (c == '\n') {
            result += "\\n";
            continue;
        }
        if (c == '\\' || (isQuoted && c == '"'))
            result += '\\';
        result += c;
    }
    return result;
}

} // namespace

bool isMetricName(const std::string &name)
{
    return !name.empty() && !isDigit(name.front())
           && std::all_of(name.begin(), name.end(),
                          [](char c) { return isLetter(c) || isDigit(c) || c == ':'; });
}

bool isLabelName(const std::string &name)
{
    const bool isReserved = name.rfind("__", 0) == 0;
    return isMetricName(name) && !isReserved && name.find(':') == std::string::npos;
}

std::string formatNumber(double value)
{
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    char buf[32];
    const auto [end, ec] = std::to_chars(buf, buf + sizeof buf, value);
    return std::string(buf, end);
}

std::string formatHeader(const std::string &name, const std::string &help, const std::string &type)
{
    std::string lines = "# HELP " + name;
    lines += ' ';
    lines += escaped(help, false);
    lines += "\n# TYPE ";
    lines += name;
    lines += ' ';
    lines += type;
    lines += '\n';
    return lines;
}

std::string formatSample(const std::string &name, const std::vector<Label> &labels, double value)
{
    std::string line = name;
    for (const Label &label : labels) {
        line += &label == &labels.front() ? '{' : ',';
        line += label.name;
        line += "=\"";
        line += escaped(label.value, true);
        line += '"';
    }
    if (!labels.empty())
        line += '}';
    line += ' ';
    line += formatNumber(value);
    line += '\n';
    return line;
}

} // namespace Metrics::Internal
