#include "gateway/datagramassembler.h"
#include "gateway/reportsocket.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <boost/asio/io_context.hpp>

#include <algorithm>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

Settings::Address freeAddress(boost::asio::io_context &io)
{
    using boost::asio::ip::udp;
    udp::socket probe(io, {boost::asio::ip::make_address_v4("127.0.0.1"), 0});
    return {"127.0.0.1", probe.local_endpoint().port()};
}

/// A report on the fleet as the leader of a zone sends it.
HostReport fleetReport(std::size_t hosts)
{
    HostReport report;
    report.self.host = Base::HostId("leader");
    report.scope = ReportScope::Fleet;
    for (std::size_t i = 0; i < hosts; ++i) {
        MemberState member;
        member.host = Base::HostId("edge-some-zone-" + std::to_string(i));
        member.zone = Base::ZoneId("some-zone");
        member.peerAddress = "10.1.100." + std::to_string(i % 250) + ":7240";
        member.callerAddress = member.peerAddress;
        report.members.push_back(member);
    }
    return report;
}

} // namespace

TEST_CASE("a report on any number of hosts arrives", "[gateway]")
{
    // Guards against a fleet of which no host hears from its leader, because a report on some nine
    // hundred hosts is larger than a datagram.
    for (const std::size_t hosts : {10U, 500U, 1000U, 2000U}) {
        CAPTURE(hosts);
        boost::asio::io_context io;
        const Settings::Address from = freeAddress(io);
        const Settings::Address to = freeAddress(io);
        std::size_t received = 0;
        boost::leaf::try_handle_all(
            [&]() -> Base::Result<void> {
                BOOST_LEAF_AUTO(sender, ReportSocket::create(io, from, [](const HostReport &) {}));
                BOOST_LEAF_AUTO(receiver,
                                ReportSocket::create(io, to, [&](const HostReport &report) {
                                    received = report.members.size();
                                }));
                sender->send(fleetReport(hosts), {toString(to)});
                for (int i = 0; i < 100 && received == 0; ++i)
                    io.run_one_for(milliseconds(20));
                return {};
            },
            [] { FAIL("cannot listen"); });
        CHECK(received == hosts);
    }
}

TEST_CASE("a message is whole or not there, whatever happens to its parts", "[gateway]")
{
    rc::prop("parts lost, repeated and reordered, of two senders", [] {
        DatagramAssembler assembler;
        for (std::uint64_t id = 1; id <= 4; ++id) {
            const std::size_t size = *rc::gen::inRange<std::size_t>(1, 400'000);
            const std::string message(size, static_cast<char>('a' + id));
            std::vector<std::string> parts = DatagramAssembler::split(message, id);
            const bool isPartLost = parts.size() > 1 && *rc::gen::inRange(0, 3) == 0;
            if (isPartLost)
                parts.erase(parts.begin()
                            + *rc::gen::inRange<std::ptrdiff_t>(
                                0, static_cast<std::ptrdiff_t>(parts.size())));
            else if (*rc::gen::arbitrary<bool>())
                parts.insert(parts.begin(), parts.back());
            std::size_t whole = 0;
            for (const std::string &it : parts) {
                const auto joined = assembler.add(it, "a", start + milliseconds(200) * id);
                if (!joined)
                    continue;
                ++whole;
                RC_ASSERT(*joined == message);
            }
            RC_ASSERT((whole > 0) == !isPartLost);
        }
    });
    rc::prop("any bytes", [](const std::string &bytes) {
        DatagramAssembler assembler;
        (void)assembler.add("\xFF" + bytes, "a", start);
    });
    CHECK(DatagramAssembler::split(std::string(DatagramAssembler::maxMessageBytes + 1, 'a'), 1)
              .empty());
}
