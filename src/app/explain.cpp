#include "explain.h"

#include "settingsfile.h"
#include "untrusted/jsonbytes.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <sstream>

namespace App {

namespace {

using Json = nlohmann::ordered_json;

/// A line of a log that concerns the request.
struct LoggedLine
{
    std::int64_t atMs = 0;
    std::string host;
    Json json;
};

/// Returns the JSON object in \a line, before which a log collector may have inserted a prefix.
Json parseJsonPart(const std::string &line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos)
        return Json();
    return Untrusted::readOrderedJson(std::string_view(line).substr(begin));
}

void readLines(const std::string &text, const std::string &request, std::vector<LoggedLine> &found)
{
    std::istringstream in(text);
    std::string line;
    std::string host = "?";
    while (std::getline(in, line)) {
        const Json json = parseJsonPart(line);
        if (!json.is_object() || !json.contains("atMs") || !json["atMs"].is_number_integer())
            continue;
        // The first line that a process logs has its host, to which the following lines belong.
        if (json.contains("host") && json["host"].is_string())
            host = json["host"].get<std::string>();
        if (json.contains("request") && json["request"] == request)
            found.push_back({json["atMs"].get<std::int64_t>(), host, json});
    }
}

std::string describe(const LoggedLine &line)
{
    std::string text = std::to_string(line.atMs) + " " + line.host;
    for (const auto &[name, value] : line.json.items()) {
        if (name == "atMs" || name == "request")
            continue;
        text += name == "event" ? " " : " " + name + "=";
        text += value.is_string() ? value.get<std::string>() : value.dump();
    }
    return text;
}

} // namespace

Base::Result<std::vector<std::string>> explainRequest(const std::string &request,
                                                      const std::vector<std::string> &files)
{
    std::vector<LoggedLine> found;
    for (const std::string &file : files) {
        BOOST_LEAF_AUTO(text, readFile(file));
        readLines(text, request, found);
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const LoggedLine &a, const LoggedLine &b) { return a.atMs < b.atMs; });
    std::vector<std::string> lines;
    for (const LoggedLine &line : found)
        lines.push_back(describe(line));
    return lines;
}

} // namespace App
