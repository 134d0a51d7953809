#include "measure/baseline.h"
#include "measure/meter.h"
#include "measure/scenario.h"
#include "measure/workload.h"
#include "peer.pb.h"
#include "virtualfleet/fleet.h"
#include "wire/peercodec.h"

#include <getopt.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace Measure;

struct Options
{
    std::string scenario = "exchange";
    std::uint64_t seed = 1;
    std::chrono::seconds length{60};
    bool isCsv = false;
};

/// The measurements of one policy, one line of the output.
struct Row
{
    std::string policy;
    GapFigures gap;
    double utilisation = 0;
    double waitingShare = 0;
    /// 95th percentile of the time to the first part by kind of work, in milliseconds.
    std::vector<double> firstPart95;
    /// Bytes that one router sends to others in a second.
    double bytesPerSecond = 0;
    std::uint64_t finished = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

/// Virtual time under load before the measurement begins.
constexpr std::chrono::seconds warmUp{20};

/// Passes requests to the fleet of lagoonmast's nodes.
class FleetSubmitter final : public Submitter
{
public:
    explicit FleetSubmitter(VirtualFleet::Fleet &fleet)
        : m_fleet(&fleet)
    {}
    void submit(std::size_t router, const Node::CallerRequest &request) override
    {
        m_fleet->submit(router, request);
    }

private:
    VirtualFleet::Fleet *m_fleet;
};

double percentile95(std::vector<double> values)
{
    if (values.empty())
        return 0;
    const auto nth = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) * 95 / 100);
    std::nth_element(values.begin(), nth, values.end());
    return *nth;
}

Row rowOf(const std::string &policy, const Meter &meter, const Workload &workload)
{
    Row row;
    row.policy = policy;
    row.gap = meter.gap();
    row.utilisation = meter.utilisationWhileWaiting();
    row.waitingShare = meter.waitingShare();
    for (const std::vector<double> &waits : workload.firstParts())
        row.firstPart95.push_back(percentile95(waits));
    row.finished = workload.finishedRequests();
    row.refused = workload.refusedRequests();
    row.failed = workload.failedRequests();
    return row;
}

void connectListeners(VirtualFleet::ModelServer &server, Meter &meter, Workload &workload)
{
    server.onService([&meter](const VirtualFleet::Work &work, Base::ServiceUnits units) {
        meter.served(work, units);
    });
    server.onStart(
        [&workload](const VirtualFleet::Work &work) { workload.startedAtServer(work.serial); });
}

/// Returns the bytes that \a message adds to a batch between two routers.
std::size_t wireSize(const Node::PeerMessage &message)
{
    lagoonmast::wire::Batch batch;
    const Wire::BatchEndpoints ends{Base::HostId("r0"), 1, Base::HostId("r1")};
    return Wire::appendMessage(batch, ends, message);
}

Row runProduct(const Scenario &scenario, std::chrono::seconds length)
{
    VirtualFleet::Fleet fleet(scenario.fleet);
    fleet.runFor(std::chrono::seconds(3));
    fleet.setMessageSize(wireSize);
    FleetSubmitter submitter(fleet);
    Workload workload(scenario.workload, fleet.queue(), submitter);
    fleet.setListener(&workload);
    std::vector<const VirtualFleet::ModelServer *> servers;
    for (const auto &[id, server] : fleet.servers())
        servers.push_back(server.get());
    Meter meter(fleet.queue(), workload, servers);
    for (const auto &[id, server] : fleet.servers())
        connectListeners(*server, meter, workload);
    workload.start();
    fleet.runFor(warmUp);
    workload.startMeasuring();
    meter.start();
    std::uint64_t before = 0;
    for (std::size_t i = 0; i < fleet.routers(); ++i)
        before += fleet.router(i)->bytesSent();
    fleet.runFor(length);
    std::uint64_t after = 0;
    for (std::size_t i = 0; i < fleet.routers(); ++i)
        after += fleet.router(i)->bytesSent();
    Row row = rowOf("lagoonmast", meter, workload);
    // The fleet is destroyed after the workload and the meter. Its destruction cancels work at the
    // servers, which must not call the listeners then.
    for (const auto &[id, server] : fleet.servers()) {
        server->onService({});
        server->onStart({});
    }
    row.bytesPerSecond = static_cast<double>(after - before)
                         / static_cast<double>(length.count() * static_cast<long>(fleet.routers()));
    // When work is cancelled, the engines start the requests that waited for its slots; these
    // starts too must not reach the destroyed workload.
    for (const auto &[id, server] : fleet.servers()) {
        server->onStart([](const VirtualFleet::Work &) {});
        server->onService([](const VirtualFleet::Work &, Base::ServiceUnits) {});
    }
    return row;
}

Row runBaseline(const Scenario &scenario, BaselineKind kind, const std::string &name,
                std::chrono::seconds length)
{
    VirtualFleet::EventQueue queue;
    std::vector<std::unique_ptr<VirtualFleet::ModelServer>> ownedServers;
    std::vector<const VirtualFleet::ModelServer *> servers;
    Baseline::ServersByPool byPool;
    for (const VirtualFleet::ServerGroup &group : scenario.fleet.groups) {
        const std::string target = group.pool.value().substr(std::string("model/").size());
        for (std::size_t i = 0; i < group.servers; ++i) {
            ownedServers.push_back(
                std::make_unique<VirtualFleet::ModelServer>(queue, group.engine));
            servers.push_back(ownedServers.back().get());
            byPool[target].push_back(ownedServers.back().get());
        }
    }
    Baseline baseline(kind, queue, scenario.fleet.routers, byPool, scenario.fleet.latency,
                      scenario.fleet.loadReportLag);
    Workload workload(scenario.workload, queue, baseline);
    baseline.setListener(&workload);
    Meter meter(queue, workload, servers);
    for (const auto &server : ownedServers)
        connectListeners(*server, meter, workload);
    workload.start();
    queue.runUntil(queue.now() + warmUp);
    workload.startMeasuring();
    meter.start();
    queue.runUntil(queue.now() + length);
    return rowOf(name, meter, workload);
}

void print(const Scenario &scenario, const std::vector<Row> &rows, const Options &options)
{
    const char *separator = options.isCsv ? "," : "  ";
    const auto cell = [&](const std::string &text) {
        if (options.isCsv)
            std::printf("%s%s", text.c_str(), separator);
        else
            std::printf("%14s%s", text.c_str(), separator);
    };
    const auto number = [&](double value, int digits) {
        char buf[64];
        std::snprintf(buf, sizeof buf, "%.*f", digits, value);
        cell(buf);
    };
    for (const char *title : {"scenario", "seed", "policy", "gap max", "gap p99", "utilisation",
                              "work waits", "bytes/s", "finished", "refused", "failed"})
        cell(title);
    for (const WorkKind &kind : scenario.workload.kinds)
        cell("p95 " + kind.workClass.value());
    std::printf("\n");
    for (const Row &row : rows) {
        cell(scenario.name);
        cell(std::to_string(options.seed));
        cell(row.policy);
        number(row.gap.largest, 0);
        number(row.gap.percentile99, 0);
        number(row.utilisation * 100, 2);
        number(row.waitingShare * 100, 1);
        number(row.bytesPerSecond, 0);
        cell(std::to_string(row.finished));
        cell(std::to_string(row.refused));
        cell(std::to_string(row.failed));
        for (const double wait : row.firstPart95)
            number(wait, 0);
        std::printf("\n");
    }
}

int usage()
{
    std::cerr << "usage: measure [--scenario NAME] [--seed N] [--seconds N] [--csv]\nscenarios:";
    for (const std::string &name : scenarioNames())
        std::cerr << ' ' << name;
    std::cerr << '\n';
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    const option knownOptions[] = {{"scenario", required_argument, nullptr, 's'},
                                   {"seed", required_argument, nullptr, 'r'},
                                   {"seconds", required_argument, nullptr, 'n'},
                                   {"csv", no_argument, nullptr, 'c'},
                                   {nullptr, 0, nullptr, 0}};
    for (int ch = 0; (ch = getopt_long(argc, argv, "", knownOptions, nullptr)) != -1;) {
        if (ch == 's')
            options.scenario = optarg;
        else if (ch == 'r')
            options.seed = std::strtoull(optarg, nullptr, 10);
        else if (ch == 'n')
            options.length = std::chrono::seconds(std::strtol(optarg, nullptr, 10));
        else if (ch == 'c')
            options.isCsv = true;
        else
            return usage();
    }
    const std::optional<Scenario> scenario = scenarioByName(options.scenario, options.seed);
    if (!scenario || options.length.count() <= 0)
        return usage();
    std::vector<Row> rows;
    rows.push_back(runProduct(*scenario, options.length));
    rows.push_back(runBaseline(*scenario, BaselineKind::RoundRobin, "round robin", options.length));
    rows.push_back(
        runBaseline(*scenario, BaselineKind::LeastLoaded, "least loaded", options.length));
    rows.push_back(
        runBaseline(*scenario, BaselineKind::FairPerRouter, "fair/router", options.length));
    print(*scenario, rows, options);
    return 0;
}
