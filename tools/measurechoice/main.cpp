#include "routing/dispatcher.h"

#include <chrono>
#include <ctime>
#include <iostream>
#include <string>

// Prints the processor time that a host needs for a request to a pool of model servers, and for the
// work of a second that does not depend on requests, for pools of several sizes.

using namespace Routing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

double processorMicroseconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

std::vector<RegisteredServer> servers(std::size_t n)
{
    std::vector<RegisteredServer> all(n);
    for (std::size_t i = 0; i < n; ++i) {
        all[i].id = Base::ServerId("i-" + std::to_string(i * 7919));
        all[i].slots = 24;
        all[i].zone = Base::ZoneId("zone-" + std::to_string(i % 6));
    }
    return all;
}

Work prompt(WorkId id, Base::TimePoint now)
{
    Work work;
    work.id = id;
    work.customer = Base::CustomerId("customer-" + std::to_string(id % 300));
    work.arrivedAt = now;
    work.startBy = now + milliseconds(800);
    work.deadline = now + seconds(8);
    work.promptTokens = 17000;
    work.outputTokens = 100;
    work.parts = {{id % 1500, 13000}, {id * 7919, 4000}};
    return work;
}

void measure(std::size_t serverCount)
{
    constexpr int requests = 2000;
    // The pool reads much more than it is asked for.
    const ServiceTraits traits{true, 20'000'000, 60, 0};
    Dispatcher dispatcher(traits, Base::ZoneId("zone-0"), Base::HostId("host"));
    dispatcher.setServers(servers(serverCount));
    PeerLoad peers;
    for (std::size_t i = 0; i < serverCount; i += 5)
        peers.servers[Base::ServerId("i-" + std::to_string(i * 7919))] = {1, 500};
    dispatcher.setPeerLoad(peers);
    Base::TimePoint now{seconds(1000)};
    double inRequests = 0;
    double inTicks = 0;
    for (int i = 1; i <= requests; ++i) {
        now += milliseconds(5);
        const auto id = static_cast<WorkId>(i);
        double begin = processorMicroseconds();
        dispatcher.submit(prompt(id, now), now);
        dispatcher.started(id, now);
        dispatcher.finished(id, AttemptOutcome::Served, now);
        inRequests += processorMicroseconds() - begin;
        begin = processorMicroseconds();
        // A tick is due each 25 ms, and reports of other hosts come each 200 ms.
        if (i % 5 == 0)
            dispatcher.advance(now);
        if (i % 40 == 0)
            dispatcher.peerLoadChanged();
        inTicks += processorMicroseconds() - begin;
    }
    std::cout << serverCount << " servers: " << inRequests / requests << " us a request, "
              << inTicks / (requests * 0.005) << " us a second besides\n";
}

} // namespace

int main()
{
    for (const std::size_t n : {162U, 500U, 1000U, 10000U, 20000U})
        measure(n);
    return 0;
}
