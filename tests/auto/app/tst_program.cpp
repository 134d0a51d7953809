#include "daemon/daemonsettings.h"
#include "program.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace {

struct Outcome
{
    int status = 0;
    std::string out;
    std::string err;
    std::vector<Daemon::DaemonSettings> served;
};

Outcome run(const std::vector<std::string> &arguments, int served = 0)
{
    Outcome outcome;
    std::ostringstream out;
    std::ostringstream err;
    App::Program program(out, err, [&](const Daemon::DaemonSettings &settings) {
        outcome.served.push_back(settings);
        return served;
    });
    outcome.status = program.run(arguments);
    outcome.out = out.str();
    outcome.err = err.str();
    return outcome;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

/// A file in the working directory, which is removed by the destructor.
class ScratchFile
{
public:
    ScratchFile(const std::string &name, const std::string &text)
        : m_name(name)
    {
        std::ofstream(m_name) << text;
    }
    ~ScratchFile() { std::remove(m_name.c_str()); }
    ScratchFile(const ScratchFile &) = delete;
    ScratchFile &operator=(const ScratchFile &) = delete;
    const std::string &name() const { return m_name; }

private:
    std::string m_name;
};

const std::string validSettings = R"({"host":"entry-1","zone":"z","region":"r",
"callerAddress":"127.0.0.1:1","peerAddress":"127.0.0.1:2","platform":{"address":"127.0.0.1:3"},
"seeds":[{"host":"entry-2","peerAddress":"127.0.0.1:4"}],
"limits":{"connections":7,"bodyBytes":2048,"streamBufferBytes":4096},
"log":{"level":"warn"},"trace":{"file":"t"}})";

} // namespace

TEST_CASE("Help and version are printed to standard output")
{
    for (const std::string option : {"--help", "--version"}) {
        const Outcome outcome = run({option});
        CHECK(outcome.status == 0);
        CHECK(contains(outcome.out, "lagoonmast"));
        CHECK(outcome.err.empty());
    }
    CHECK(run({"serve", "--help"}).status == 0);
}

TEST_CASE("A wrong command line exits with 2 and prints the cause to standard error")
{
    struct Wrong
    {
        std::vector<std::string> arguments;
        std::string named;
    };
    const std::vector<std::string> set{"targets", "set", "--address",  "127.0.0.1:1",
                                       "--class", "c",   "--if-match", "3"};
    const auto setWith = [&](std::vector<std::string> more) {
        more.insert(more.begin(), set.begin(), set.end());
        return more;
    };
    const std::vector<Wrong> all{
        {{}, "no command"},
        {{"dance"}, "unknown command: dance"},
        {{"serve"}, "missing option: --settings"},
        {{"serve", "--settings"}, "without a value: --settings"},
        {{"serve", "--settings", ""}, "without a value: --settings"},
        {{"serve", "--weight", "3"}, "unknown or unsupported option: --weight"},
        {{"serve", "--address", "127.0.0.1:1"}, "unknown or unsupported option: --address"},
        {{"serve", "-x"}, "-x"},
        {{"serve", "now", "--settings", "f"}, "unexpected argument: now"},
        {{"check"}, "missing argument: FILE"},
        {{"check", "a", "b"}, "unexpected argument: b"},
        {{"status"}, "missing option: --address"},
        {{"status", "--address", "router.example:80"}, "malformed value of option: --address"},
        {{"targets"}, "get|set"},
        {{"targets", "weigh"}, "unknown command: targets weigh"},
        {setWith({}), "missing option: --start-within-ms"},
        {setWith({"--start-within-ms", "1s"}), "malformed value of option: --start-within-ms"},
        {setWith({"--start-within-ms", "9", "--claim", "half"}), "of option: --claim"},
        {setWith({"--start-within-ms", "9", "--if-match", "-1"}), "of option: --if-match"},
        {{"targets", "set", "--address", "127.0.0.1:1", "--class", "c", "--start-within-ms", "9"},
         "missing option: --if-match"},
    };
    for (const Wrong &wrong : all) {
        const Outcome outcome = run(wrong.arguments);
        CHECK(outcome.status == 2);
        CHECK(outcome.out.empty());
        CHECK(outcome.served.empty());
        CHECK_THAT(outcome.err, Catch::Contains(wrong.named));
    }
}

TEST_CASE("Arbitrary arguments are rejected and do not crash")
{
    rc::prop("any words", [](const std::vector<std::string> &words) {
        std::vector<std::string> arguments;
        for (const std::string &word : words)
            arguments.emplace_back(word.c_str());
        const bool isKnown = !arguments.empty() && arguments.front() == "check";
        RC_PRE(!isKnown);
        RC_ASSERT(run(arguments).status == 2);
    });
}

TEST_CASE("check reports all faults of a file in one run")
{
    const ScratchFile file("tst_app_bad.json", R"({"host":"a b","zone":1,"weights":{}})");
    const Outcome outcome = run({"check", file.name()});
    CHECK(outcome.status == 1);
    for (const std::string pointer :
         {"/host", "/zone", "/region", "/callerAddress", "/peerAddress", "/platform", "/weights"})
        CHECK(contains(outcome.err, pointer + ": expected"));
    CHECK(run({"check", "no-such-file"}).status == 1);
    CHECK(contains(run({"check", "no-such-file"}).err, "no-such-file"));
    CHECK(run({"check", "."}).status == 1);
}

TEST_CASE("A valid file passes check, and serve uses its settings")
{
    const ScratchFile file("tst_app_good.json", validSettings);
    CHECK(run({"check", file.name()}).status == 0);
    const Outcome outcome = run({"serve", "--settings", file.name()});
    CHECK(outcome.status == 0);
    REQUIRE(outcome.served.size() == 1);
    const Daemon::DaemonSettings &settings = outcome.served.front();
    CHECK(settings.host.value() == "entry-1");
    CHECK(settings.callerAddress == "127.0.0.1:1");
    CHECK(settings.peerAddress == "127.0.0.1:2");
    CHECK(settings.platformAddress == "127.0.0.1:3");
    REQUIRE(settings.seeds.size() == 1);
    CHECK(settings.seeds[0].peerAddress == "127.0.0.1:4");
    CHECK(settings.limits.connections == 7);
    CHECK(settings.limits.bodyBytes == 2048);
    CHECK(settings.limits.streamBufferBytes == 4096);
    CHECK(settings.logLevel == "warn");
    CHECK(settings.traceFile == "t");
    CHECK(run({"serve", "--settings", file.name()}, 1).status == 1);
}

TEST_CASE("serve rejects a file with a fault")
{
    const ScratchFile file("tst_app_half.json", R"({"host":"a"})");
    const Outcome outcome = run({"serve", "--settings", file.name()});
    CHECK(outcome.status == 1);
    CHECK(outcome.served.empty());
}

TEST_CASE("If a router does not answer, the error has its address")
{
    // Nothing listens at port 1 of the loopback interface, so the connection is refused at once.
    const Outcome outcome = run({"status", "--address", "127.0.0.1:1"});
    CHECK(outcome.status == 1);
    CHECK(contains(outcome.err, "127.0.0.1:1"));
}
