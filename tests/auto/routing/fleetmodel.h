#pragma once

#include "fairnesschecker.h"
#include "routing/dispatcher.h"
#include "routing/streamadmission.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

/// The load that a customer's callers produce.
struct CustomerLoad
{
    std::string name;
    double requestsPerSecond = 1;
    std::uint32_t promptTokens = 8000;
    /// The number of events of an answer, and the number of tokens that the caller allows.
    unsigned events = 10;
    std::uint32_t outputTokens = 200;
    /// The callers stay with this many hosts, beginning with \a firstHost. If it is 0, they use all
    /// listed hosts.
    std::size_t hosts = 0;
    std::size_t firstHost = 0;
    /// From \a floodFrom until \a floodTo, the customer sends \a flood times as many requests.
    Base::Duration floodFrom{};
    Base::Duration floodTo{};
    double flood = 1;
    /// From \a floodTo on, the customer sends this many times as many requests.
    double afterFlood = 1;
};

struct FleetScenario
{
    std::size_t hosts = 24;
    /// The number of hosts that callers are told to use at first. Two more are listed every half
    /// second while a customer floods.
    std::size_t listedHosts = 8;
    std::size_t engines = 24;
    /// The number of engines that hosts cannot use from \a downFrom until \a downTo.
    std::size_t enginesDown = 0;
    Base::Duration downFrom{};
    Base::Duration downTo{};
    std::vector<CustomerLoad> customers;
    /// The share of a host's processor that is available, and the ratio of the actual to the
    /// estimated cost of its work.
    double processorShare = 0.12;
    double slowness = 1;
    /// The throughput in the configuration, as a share of what the engines can do.
    double configuredShare = 0.6;
    /// Reports of the first \a lateHosts hosts are lost from \a lateFrom until \a lateTo.
    std::size_t lateHosts = 0;
    Base::Duration lateFrom{};
    Base::Duration lateTo{};
    /// The share of the reports that are lost.
    double reportLoss = 0.02;
    Base::Duration length = std::chrono::seconds(16);
    std::uint64_t seed = 1;
};

/// Simulates hosts and engines in virtual time. Reports arrive late or not at all, and all work of
/// a host uses its limited processor time.
class FleetModel
{
public:
    explicit FleetModel(const FleetScenario &scenario);
    /// Runs the whole scenario.
    void run();
    const FairnessChecker &fairness() const { return m_fairness; }

private:
    struct Request
    {
        std::size_t customer = 0;
        std::size_t host = 0;
        Base::TimePoint readyAt;
        Base::TimePoint firstAsked;
        bool isRetry = false;
        bool isBegun = false;
    };
    /// An item of work that waits for a host's processor.
    struct Task
    {
        enum class Kind { Request, FirstEvent, Event, End } kind = Kind::Request;
        Routing::WorkId id = 0;
        Base::TimePoint at;
    };
    struct Host
    {
        std::unique_ptr<Routing::Dispatcher> dispatcher;
        std::unique_ptr<Routing::StreamAdmission> admission;
        Routing::PeerLoad others;
        std::deque<Task> tasks;
        double budgetMs = 0;
        Routing::HostLoad reported;
        /// The summed reports that are on their way, with their time of arrival.
        std::deque<std::pair<Base::TimePoint, Routing::PeerLoad>> incoming;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool isFlooding() const;
    /// Returns the ratio of the customer's current to its usual requests.
    double demandFactor(const CustomerLoad &load) const;
    void changeEngines();
    bool isReportLost(std::size_t host);
    std::size_t hostFor(const CustomerLoad &load);
    void arrive(std::size_t customer, bool isRetry, Base::TimePoint firstAsked);
    void work(std::size_t host);
    /// Returns the processor time in milliseconds that the task took.
    double perform(std::size_t host, const Task &task);
    double receive(std::size_t host, Routing::WorkId id);
    Routing::Work workOf(Routing::WorkId id, const CustomerLoad &load) const;
    void apply(std::size_t host, const Routing::Decisions &decisions);
    void refused(Routing::WorkId id, Base::Duration retryAfter);
    void report();
    void deliver();

    FleetScenario m_scenario;
    FairnessChecker m_fairness;
    std::mt19937_64 m_random;
    Base::TimePoint m_now{std::chrono::seconds(1000)};
    Base::TimePoint m_start{m_now};
    std::vector<Host> m_hosts;
    std::vector<double> m_due;
    std::vector<Routing::RegisteredServer> m_engines;
    std::size_t m_usableEngines = 0;
    std::map<Base::ServerId, Base::TimePoint> m_freeAt;
    std::map<Routing::WorkId, Request> m_requests;
    /// The events that reach hosts at a given time, from engines and from callers who try again.
    std::multimap<Base::TimePoint, std::pair<std::size_t, Task>> m_events;
    std::multimap<Base::TimePoint, Request> m_retries;
    Routing::WorkId m_lastId = 0;
    double m_listedHosts = 0;
};
