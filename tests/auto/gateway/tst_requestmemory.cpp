#include "gateway/requestmemory.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace Gateway;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Base::TimePoint start{seconds(1000)};

/// The memory of one host, and what it wants of its reports.
class MemoryFixture final : public Routing::ServerLife, public RequestMemoryListener
{
public:
    explicit MemoryFixture(const std::string &host)
        : m_fleet(Base::HostId(host), Base::ZoneId("z"))
    {}

    bool isGone(const Base::ServerId &) const override { return false; }
    std::optional<Base::TimePoint> lastResponseFrom(const Base::ServerId &) const override
    {
        return {};
    }
    void reportWanted(bool isUrgent) override { wantedReports.push_back(isUrgent); }
    HostReport report(Base::TimePoint now) const
    {
        HostReport it;
        it.self.zone = Base::ZoneId("z");
        memory.addTo(it, now);
        return it;
    }

private:
    FleetView m_fleet;

public:
    RequestMemory memory{Base::ZoneId("z"), m_fleet, *this, *this};
    std::vector<bool> wantedReports;
};

} // namespace

// Guards against streams that go on at the old version at hosts that do not know the new one yet,
// after the host that began them was killed.
TEST_CASE("the first stream at a new version is reported at once", "[gateway]")
{
    MemoryFixture a("a");
    MemoryFixture b("b");
    for (MemoryFixture *it : {&a, &b}) {
        it->memory.advance({{"pool", {{"v1", 2}}}}, start);
        it->memory.streamOrigins().setServersCurrentUntil(start + seconds(2), start);
        it->memory.streamOrigins().setHistoryKnown(true);
        it->memory.streamOrigins().setStoredKnown(true);
    }
    a.memory.recordStreamBegun(1, {"pool", "v1"}, start);
    CHECK(a.wantedReports.empty());
    // Host b will read the new version's entry some hundred milliseconds later.
    const Base::TimePoint now = start + milliseconds(300);
    a.memory.advance({{"pool", {{"v1", 2}, {"v2", 1}}}}, now);
    a.memory.recordStreamBegun(2, {"pool", "v2"}, now);
    a.memory.recordStreamBegun(3, {"pool", "v2"}, now);
    CHECK(a.wantedReports == std::vector{true});
    CHECK(b.memory.streamOrigins().continuation("pool", 2, now).isAllowed());
    b.memory.apply(a.report(now), false, now);
    CHECK(b.memory.streamOrigins().continuation("pool", 2, now).softwareVersion == "v2");
    CHECK_FALSE(b.memory.streamOrigins().continuation("pool", 4, now).isAllowed());
}
