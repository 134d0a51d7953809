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

/// What a customer's callers ask for.
struct CustomerLoad
{
    std::string name;
    double requestsPerSecond = 1;
    std::uint32_t promptTokens = 8000;
    /// Events of an answer, and the tokens that the caller allows.
    unsigned events = 10;
    std::uint32_t outputTokens = 200;
    /// Its callers stay with this many hosts, from \a firstHost on; 0: with all that are named.
    std::size_t hosts = 0;
    std::size_t firstHost = 0;
    /// From then until then it asks this many times as much.
    Base::Duration floodFrom{};
    Base::Duration floodTo{};
    double flood = 1;
};

struct FleetScenario
{
    std::size_t hosts = 24;
    /// Named to callers at first; two more each half second while anybody floods.
    std::size_t namedHosts = 8;
    std::size_t engines = 24;
    std::vector<CustomerLoad> customers;
    /// Of a host's processor, and how many times longer its work takes than usual.
    double processorShare = 0.12;
    double slowness = 1;
    /// What the configuration tells of the throughput, of what the engines can do.
    double toldPart = 0.6;
    /// Part of the reports that are lost.
    double reportLoss = 0.02;
    Base::Duration length = std::chrono::seconds(16);
    std::uint64_t seed = 1;
};

/// Hosts before engines in virtual time, with reports that come late or not at all and a processor
/// of each host that all its work takes time of.
class FleetModel
{
public:
    explicit FleetModel(const FleetScenario &scenario);
    /// Plays the whole scenario.
    void play();
    const FairnessJudge &judge() const { return m_judge; }

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
    /// What a host's processor has before it.
    struct Task
    {
        enum class Kind { Request, FirstEvent, Event, End } kind = Kind::Request;
        Routing::WorkId id = 0;
        Base::TimePoint at;
    };
    struct Host
    {
        std::unique_ptr<Routing::Dispatcher> dispatcher;
        std::unique_ptr<Routing::StreamAdmission> backlog;
        Routing::PeerLoad others;
        std::deque<Task> tasks;
        double budgetMs = 0;
        Routing::HostLoad reported;
        /// The sums that are on their way, with when they arrive.
        std::deque<std::pair<Base::TimePoint, Routing::PeerLoad>> coming;
    };

    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }
    bool isFlooding() const;
    std::size_t hostFor(const CustomerLoad &load);
    void arrive(std::size_t customer, bool isRetry, Base::TimePoint firstAsked);
    void work(std::size_t host);
    /// Milliseconds of the processor that it took.
    double perform(std::size_t host, const Task &task);
    double receive(std::size_t host, Routing::WorkId id);
    Routing::Work workOf(Routing::WorkId id, const CustomerLoad &load) const;
    void apply(std::size_t host, const Routing::Decisions &decisions);
    void refused(Routing::WorkId id, Base::Duration retryAfter);
    void report();
    void deliver();

    FleetScenario m_scenario;
    FairnessJudge m_judge;
    std::mt19937_64 m_random;
    Base::TimePoint m_now{std::chrono::seconds(1000)};
    Base::TimePoint m_start{m_now};
    std::vector<Host> m_hosts;
    std::vector<double> m_due;
    std::map<Base::ServerId, Base::TimePoint> m_freeAt;
    std::map<Routing::WorkId, Request> m_requests;
    /// What comes to hosts at a time: events of engines, and callers who come back.
    std::multimap<Base::TimePoint, std::pair<std::size_t, Task>> m_events;
    std::multimap<Base::TimePoint, Request> m_retries;
    Routing::WorkId m_lastId = 0;
    double m_namedHosts = 0;
};
