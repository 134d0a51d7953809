#include "gateway/eventlog.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

#include <unistd.h>

#include <array>
#include <sstream>

using namespace Gateway;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

class Pipe
{
public:
    Pipe() { REQUIRE(pipe(m_ends.data()) == 0); }
    ~Pipe()
    {
        close(m_ends[0]);
        close(m_ends[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    int writeEnd() const { return m_ends[1]; }
    std::string read()
    {
        std::string text(1U << 20, '\0');
        const ssize_t n = ::read(m_ends[0], text.data(), text.size());
        text.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
        return text;
    }

private:
    std::array<int, 2> m_ends{};
};

void writeRequest(EventLog &log, const char *event, bool isFailure, Base::TimePoint now)
{
    if (log.tryAcquireRequestLine(isFailure, now))
        log.write(LogLine(event), now);
}

} // namespace

TEST_CASE("a line is one JSON object for any text in it", "[gateway]")
{
    rc::prop("any text", [](const std::string &text) {
        const std::string line =
            LogLine("request.end").add("request", text).add("n", 7).add("good", true).text();
        RC_ASSERT(line.back() == '\n');
        RC_ASSERT(line.find('\n') == line.size() - 1);
        const auto json = nlohmann::json::parse(line, nullptr, false);
        // Bytes that are no UTF-8 are the sender's; all else is read back as it was.
        if (!json.is_discarded())
            RC_ASSERT(json["request"] == text);
    });
}

TEST_CASE("a reader that has stopped costs lines and no waiting", "[gateway]")
{
    // The log collector hangs. All callers of the host hang too, since the process waits for its
    // standard output. Cause: writing a line waited for the reader.
    Pipe pipe;
    EventLog log(pipe.writeEnd(), 150);
    const std::string text(200, 'x');
    for (int i = 0; i < 20000; ++i) {
        log.write(LogLine("server.found").add("text", text), start);
        log.flush();
    }
    CHECK(log.dropped() > 10000);
    // The reader comes back: it sees whole lines, and how many were dropped.
    std::string got;
    for (int i = 0; i < 200; ++i) {
        got += pipe.read();
        log.write(LogLine("server.found"), start);
        log.flush();
        if (got.find("log.dropped") != std::string::npos)
            break;
    }
    CHECK(got.find("\"event\":\"log.dropped\"") != std::string::npos);
    std::istringstream lines(got);
    std::string line;
    while (std::getline(lines, line)) {
        if (!lines.eof())
            CHECK(nlohmann::json::accept(line));
    }
}

TEST_CASE("under load failures are kept longer than answered requests", "[gateway]")
{
    Pipe pipe;
    EventLog log(pipe.writeEnd(), 150);
    for (int i = 0; i < 1000; ++i)
        writeRequest(log, "answered", false, start);
    for (int i = 0; i < 1000; ++i)
        writeRequest(log, "failed", true, start);
    log.flush();
    const std::string got = pipe.read();
    const auto count = [&got](const std::string &event) {
        std::size_t n = 0;
        for (std::size_t at = got.find(event); at != std::string::npos;
             at = got.find(event, at + 1))
            ++n;
        return n;
    };
    CHECK(count("\"answered\"") == 150);
    CHECK(count("\"failed\"") == 300);
    CHECK(log.dropped() == 1550);
    // The next second has an allowance of its own.
    writeRequest(log, "answered", false, start + seconds(1));
    log.flush();
    CHECK(pipe.read().find("\"answered\"") != std::string::npos);
}
