#include "gateway/entryhostselector.h"

#include <catch2/catch.hpp>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

MemberState member(const std::string &host, Routing::MilliCores capacity, Routing::MilliCores load)
{
    MemberState it;
    it.host = Base::HostId(host);
    it.zone = Base::ZoneId("z");
    it.callerAddress = host + ":8000";
    it.isServing = true;
    it.capacity = capacity;
    it.load = load;
    return it;
}

/// Ten strong hosts, each with \a load.
std::vector<MemberState> strongHosts(Routing::MilliCores load)
{
    std::vector<MemberState> hosts;
    for (int i = 0; i < 10; ++i)
        hosts.push_back(member("strong-" + std::to_string(i), 500, load));
    return hosts;
}

} // namespace

TEST_CASE("a host that is not named gets connections by what it forwards", "[gateway]")
{
    // A customer's callers stay with a small host that nobody is told of, and get 503 although
    // servers have room: a host that is not named had four connections to each server.
    EntryBoard board;
    Base::TimePoint now = start;
    for (int i = 0; i < 4000; ++i) {
        now += milliseconds(2);
        board.addEvents(5, now);
    }
    // About 100 ms of processor time a second, as much as each of the others.
    const MemberState self = member("weak", 120, board.load(now));
    CHECK(self.load >= 95);
    CHECK(self.load <= 105);
    board.update(strongHosts(100), self, now);
    CHECK(board.addresses().size() >= 8);
    const double share = board.trafficShare(self.host, now);
    CHECK(share > 0.03);
    CHECK(share < 0.06);
}

TEST_CASE("before there is traffic the named hosts share the connections alike", "[gateway]")
{
    EntryBoard board;
    const MemberState self = member("strong-9", 500, 0);
    std::vector<MemberState> others = strongHosts(0);
    others.pop_back();
    others.resize(3);
    board.update(others, self, start);
    CHECK(board.addresses().size() == 4);
    CHECK(board.trafficShare(self.host, start) == Approx(0.25));
    CHECK(board.trafficShare(Base::HostId("other"), start) == 0);
}

TEST_CASE("a host that cannot serve names itself only if nobody else is there", "[gateway]")
{
    EntryBoard board;
    MemberState self = member("self", 500, 0);
    self.isServing = false;
    board.update({}, self, start);
    CHECK(board.addresses() == std::vector<std::string>{"self:8000"});
    board.update(strongHosts(0), self, start);
    for (const std::string &address : board.addresses())
        CHECK(address != "self:8000");
    self.isLeaving = true;
    board.update({}, self, start);
    CHECK(board.addresses().empty());
}
