#pragma once

#include <string>
#include <vector>

/// Status lines, without their ends, that no answer has.
inline std::vector<std::string> brokenStatusLines()
{
    std::vector<std::string> lines = {"HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "ICY 200 OK",
                                      "HTTP/1.1 2\x01 OK", "HTTP/1.1 200 O\x01K"};
    for (const char *status :
         {"000", "001", "099", "600", "999", "20", "2000", "2 0", "abc", "-200", "+200"})
        lines.push_back(std::string("HTTP/1.1 ") + status + " OK");
    return lines;
}

/// Lines of fields, with their ends, whose name is none.
inline std::vector<std::string> brokenFieldLines()
{
    using namespace std::string_literals;
    return {"X Y: a\r\n",
            "X\tY: a\r\n",
            "X\0Y: a\r\n"s,
            "X\x01Y: a\r\n",
            "X\x7fY: a\r\n",
            "X\x0bY: a\r\n",
            "X\rY: a\r\n",
            "Content-Length : 4\r\n",
            "Content-Length\x01: 4\r\n",
            "Transfer-Encoding : chunked\r\n",
            " X: a\r\n",
            ": a\r\n",
            "X\r\n"};
}
