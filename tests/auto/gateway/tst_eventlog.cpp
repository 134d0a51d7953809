#include "gateway/eventlog.h"
#include "gateway/serverchangelog.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck/catch.h>

#include <unistd.h>

#include <algorithm>
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

TEST_CASE("a log line is one JSON object, whatever text it contains", "[gateway]")
{
    rc::prop("any text", [](const std::string &text) {
        const std::string line =
            LogLine("request.end").add("request", text).add("n", 7).add("good", true).text();
        RC_ASSERT(line.back() == '\n');
        RC_ASSERT(line.find('\n') == line.size() - 1);
        const auto json = nlohmann::json::parse(line, nullptr, false);
        // Text that is not valid UTF-8 is copied into the line, which is then no valid JSON.
        if (!json.is_discarded())
            RC_ASSERT(json["request"] == text);
    });
}

TEST_CASE("a stopped reader makes the log drop lines and never block", "[gateway]")
{
    // Guards against blocking writes: when the log collector stops reading standard output, a
    // process that waits for it stops serving its callers.
    Pipe pipe;
    EventLog log(pipe.writeEnd(), 150);
    const std::string text(200, 'x');
    for (int i = 0; i < 20000; ++i) {
        log.write(LogLine("server.found").add("text", text), start);
        log.flush();
    }
    CHECK(log.dropped() > 10000);
    // The reader resumes: it gets complete lines and the number of dropped ones.
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

TEST_CASE("failed requests have a larger line limit than answered ones", "[gateway]")
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
    // The limit applies to each second separately.
    writeRequest(log, "answered", false, start + seconds(1));
    log.flush();
    CHECK(pipe.read().find("\"answered\"") != std::string::npos);
}

TEST_CASE("the log lines on servers do not grow with their number", "[gateway]")
{
    // Guards against hosts that write megabytes when they start, since they learn of thousands of
    // servers at once.
    for (const int n : {1000, 10000}) {
        Routing::ServerChanges changes;
        for (int i = 0; i < n; ++i)
            changes.found.emplace_back("s" + std::to_string(i));
        changes.gone.emplace_back("gone");
        Pipe pipe;
        EventLog log(pipe.writeEnd(), 0);
        logServerChanges(log, changes, start);
        log.flush();
        const std::string text = pipe.read();
        CHECK(std::count(text.begin(), text.end(), '\n') == 66);
        CHECK(text.find("\"servers.found\",\"count\":" + std::to_string(n)) != std::string::npos);
        CHECK(text.find("\"server.gone\",\"server\":\"gone\"") != std::string::npos);
        CHECK(log.dropped() == 0);
    }
}
