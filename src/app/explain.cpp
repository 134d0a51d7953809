#include "explain.h"

#include "settingsfile.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdint>
#include <sstream>

namespace App {

namespace {

using Json = nlohmann::ordered_json;

struct LoggedLine
{
    std::int64_t atMs = 0;
    std::string host;
    Json json;
};

/// The JSON part of a line; a collector of logs may have put something before it.
Json jsonOf(const std::string &line)
{
    const std::size_t begin = line.find('{');
    if (begin == std::string::npos)
        return Json();
    return Json::parse(line.begin() + static_cast<std::ptrdiff_t>(begin), line.end(), nullptr,
                       false);
}

void readLines(const std::string &text, const std::string &request, std::vector<LoggedLine> &found)
{
    std::istringstream in(text);
    std::string line;
    std::string host = "?";
    while (std::getline(in, line)) {
        const Json json = jsonOf(line);
        if (!json.is_object() || !json.contains("atMs") || !json["atMs"].is_number_integer())
            continue;
        // The first line of a process names its host.
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
    std::vector<std::string> way;
    for (const LoggedLine &line : found)
        way.push_back(describe(line));
    return way;
}

} // namespace App
