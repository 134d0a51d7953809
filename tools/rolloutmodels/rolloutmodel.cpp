#include "rolloutmodels/rolloutmodel.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace RolloutModels {

namespace {

using Routing::RolloutPhase;
using std::chrono::milliseconds;

constexpr Base::TimePoint start{std::chrono::seconds(1000)};
constexpr Base::Duration stepLength = milliseconds(20);
/// From a host to the deciding one and back, through leaders.
constexpr Base::Duration reportDelay = milliseconds(400);
constexpr std::uint64_t order = 7;
constexpr const char *service = "pool";
constexpr const char *oldVersion = "v1";
constexpr const char *newVersion = "v2";
/// The time over which the load of a server is taken.
constexpr std::chrono::duration<double> loadWindow{0.3};
/// Bad answers after which a version must be stopped within a bound.
constexpr std::uint64_t tellingAnswers = 50;

class SequentialPolicy final : public Policy
{
public:
    SequentialPolicy(const Routing::RolloutState &state, Base::TimePoint now)
        : m_decision(state, now, now)
    {}

    std::optional<RolloutPhase> advance(const Routing::RolloutInput &input,
                                        Base::TimePoint now) override
    {
        const auto step = m_decision.advance(input, now);
        return step ? std::optional(step->phase) : std::nullopt;
    }
    void enter(const Routing::RolloutState &state, Base::TimePoint now) override
    {
        m_decision.enter(state, now);
    }

private:
    Routing::RolloutDecision m_decision;
};

class SingleTestPolicy final : public Policy
{
public:
    SingleTestPolicy(const Routing::RolloutState &state, Base::TimePoint now)
        : m_state(state)
        , m_decidesAt(now + state.order.duration / 2)
        , m_endsAt(now + state.order.duration * 9 / 10)
    {}

    std::optional<RolloutPhase> advance(const Routing::RolloutInput &input,
                                        Base::TimePoint now) override
    {
        if (m_state.phase == RolloutPhase::Moving)
            return now >= m_endsAt ? std::optional(RolloutPhase::Completed) : std::nullopt;
        if (m_state.phase != RolloutPhase::Testing || now < m_decidesAt)
            return std::nullopt;
        for (const auto &[route, counts] : input.evidence.routes) {
            const std::size_t limit = counts.before.starts.quantileBucket(0.9) + 2;
            if (isWorse(counts.before.answers, counts.before.failures, counts.after.answers,
                        counts.after.failures)
                || isWorse(counts.before.starts.total(), counts.before.starts.above(limit),
                           counts.after.starts.total(), counts.after.starts.above(limit)))
                return RolloutPhase::RolledBack;
        }
        return RolloutPhase::Moving;
    }
    void enter(const Routing::RolloutState &state, Base::TimePoint) override { m_state = state; }

private:
    /// Compares two shares; about one of ten thousand equal ones is found worse.
    static bool isWorse(double usualAnswers, double usualBad, double answers, double bad)
    {
        if (usualAnswers < 1 || answers < 1)
            return false;
        const double pooled = (usualBad + bad + 1) / (usualAnswers + answers + 2);
        const double deviation =
            std::sqrt(pooled * (1 - pooled) * (1 / usualAnswers + 1 / answers));
        return bad / answers - usualBad / usualAnswers > 3.7 * deviation;
    }

    Routing::RolloutState m_state;
    Base::TimePoint m_decidesAt;
    Base::TimePoint m_endsAt;
};

/// An answer that is on its way.
struct Answer
{
    std::size_t host = 0;
    std::string route;
    std::string version;
    Routing::AnswerSample sample;
    Base::TimePoint at;
};

struct Later
{
    bool operator()(const Answer &a, const Answer &b) const { return a.at > b.at; }
};

class Model
{
public:
    Model(const Scenario &scenario, const Routing::RolloutBounds &bounds, MakePolicy makePolicy)
        : m_scenario(scenario)
        , m_bounds(bounds)
        , m_random(scenario.seed)
    {
        m_state.order = {service, newVersion, scenario.duration, order};
        m_state.oldVersions = {oldVersion};
        m_state.revision = 1;
        std::map<Base::ServerId, Routing::RegisteredServer> servers;
        for (std::size_t i = 0; i < 2 * scenario.servers; ++i) {
            Routing::RegisteredServer server;
            server.id = Base::ServerId("s" + std::to_string(i));
            server.service = service;
            server.softwareVersion = i < scenario.servers ? oldVersion : newVersion;
            servers[server.id] = server;
        }
        for (std::size_t i = 0; i < scenario.hosts; ++i) {
            m_hosts.emplace_back(bounds);
            m_hosts.back().setHosts(scenario.hosts);
            m_hosts.back().setServers(servers);
            m_hosts.back().setOrders({m_state.order});
            m_hosts.back().setState(m_state, start, start);
        }
        m_policy = makePolicy(m_state, start);
        m_requestsPerSecond = std::accumulate(scenario.routes.begin(), scenario.routes.end(), 0.0);
    }

    Result run()
    {
        const Base::TimePoint end = start + m_scenario.duration;
        for (m_now = start; m_now < end; m_now += stepLength) {
            sendRequests();
            deliverAnswers();
            if ((m_now - start) % milliseconds(200) < stepLength)
                report();
            m_newRequests *= std::exp(-std::chrono::duration<double>(stepLength) / loadWindow);
        }
        m_result.phase = m_state.phase;
        return m_result;
    }

private:
    double uniform() { return std::uniform_real_distribution<double>(0, 1)(m_random); }

    bool isCut(std::size_t host) const
    {
        return host < m_scenario.cutHosts && m_now >= start + m_scenario.cutFrom;
    }

    void sendRequests()
    {
        const double seconds = std::chrono::duration<double>(stepLength).count();
        for (std::size_t route = 0; route < m_scenario.routes.size(); ++route) {
            const int n =
                std::poisson_distribution<int>(m_scenario.routes[route] * seconds)(m_random);
            for (int i = 0; i < n; ++i)
                sendRequest(route);
        }
    }

    void sendRequest(std::size_t route)
    {
        const std::size_t host = m_random() % m_hosts.size();
        Routing::RolloutTraffic &traffic = m_hosts[host];
        const std::string name = "r" + std::to_string(route);
        const Routing::VersionRule rule = traffic.rule(service, name, m_random(), m_now);
        const bool isNew = rule.trial || rule.barred.contains(oldVersion);
        ++m_result.requests;
        if (isNew && !isFinal(m_state.phase))
            recordExposure(host);
        const std::string version = isNew ? newVersion : oldVersion;
        traffic.recordSent(service, name, version);
        Answer answer{host, name, version, {}, {}};
        double took = std::exp(std::normal_distribution<double>(std::log(60), 0.35)(m_random));
        if (isNew) {
            const std::size_t servers = rule.trial && rule.trial->servers
                                            ? rule.trial->servers->size()
                                            : m_scenario.servers;
            m_newRequests += 1;
            apply(answer.sample, took, route,
                  m_newRequests / loadWindow.count() / static_cast<double>(servers));
        }
        const bool isDisturbed = m_now >= start + m_scenario.disturbedFrom
                                 && m_now < start + m_scenario.disturbedFrom + milliseconds(3000);
        const double failures =
            m_scenario.usualFailures + (isDisturbed ? m_scenario.disturbance : 0);
        answer.sample.isFailure = answer.sample.isFailure || uniform() < failures;
        answer.sample.startCost = took;
        answer.at = m_now + milliseconds(static_cast<int>(took));
        m_answers.push_back(std::move(answer));
        std::push_heap(m_answers.begin(), m_answers.end(), Later());
    }

    void recordExposure(std::size_t host)
    {
        // Hosts that are out of touch do not count for the bounds.
        if (isCut(host))
            return;
        ++m_result.exposed;
        if (m_toldAt && m_now > *m_toldAt + m_bounds.rollBack)
            ++m_result.late;
    }

    /// Lets a bad version fail or slow down one answer. \a load is the load of its server.
    void apply(Routing::AnswerSample &sample, double &took, std::size_t route, double load)
    {
        const double usualLoad = m_requestsPerSecond / static_cast<double>(m_scenario.servers);
        bool isFailing = false;
        bool isSlow = false;
        switch (m_scenario.badness) {
        case Badness::None:
            return;
        case Badness::Failures:
            isFailing = true;
            break;
        case Badness::Slow:
            isSlow = true;
            break;
        case Badness::Later:
            isFailing = m_now >= start + m_scenario.badFrom;
            break;
        case Badness::UnderLoad:
            isSlow = load >= 0.7 * usualLoad;
            break;
        case Badness::OneRoute:
            isFailing = route + 1 == m_scenario.routes.size();
            break;
        }
        if ((!isFailing && !isSlow) || uniform() >= m_scenario.badShare)
            return;
        if (isFailing)
            sample.isFailure = true;
        else
            took *= m_scenario.slowness;
        if (++m_bad == tellingAnswers)
            m_toldAt = m_now;
    }

    void deliverAnswers()
    {
        while (!m_answers.empty() && m_answers.front().at <= m_now) {
            std::pop_heap(m_answers.begin(), m_answers.end(), Later());
            const Answer answer = std::move(m_answers.back());
            m_answers.pop_back();
            m_hosts[answer.host].recordEnded(service, answer.version);
            m_hosts[answer.host].recordAnswer(service, answer.route, answer.version, answer.sample);
        }
    }

    void report()
    {
        Routing::RolloutInput input;
        input.newServers = input.oldServers = m_scenario.servers;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (isCut(i))
                continue;
            for (const Routing::RolloutEvidence &it : m_hosts[i].evidence())
                input.evidence += it;
        }
        m_inputs.emplace_back(m_now, input);
        if (m_now - m_inputs.front().first < reportDelay)
            return;
        const Routing::RolloutInput seen = std::move(m_inputs.front().second);
        m_inputs.pop_front();
        if (const auto phase = m_policy->advance(seen, m_now)) {
            m_state.phase = *phase;
            ++m_state.revision;
            m_result.at = m_now - start;
            m_policy->enter(m_state, m_now);
        }
        m_states.emplace_back(m_now, m_state);
        if (m_now - m_states.front().first < reportDelay)
            return;
        for (std::size_t i = 0; i < m_hosts.size(); ++i) {
            if (!isCut(i))
                m_hosts[i].setState(m_states.front().second, m_states.front().first, m_now);
        }
        m_states.pop_front();
    }

    Scenario m_scenario;
    Routing::RolloutBounds m_bounds;
    std::mt19937_64 m_random;
    Base::TimePoint m_now{start};
    Routing::RolloutState m_state;
    std::unique_ptr<Policy> m_policy;
    std::vector<Routing::RolloutTraffic> m_hosts;
    std::vector<Answer> m_answers;
    std::deque<std::pair<Base::TimePoint, Routing::RolloutInput>> m_inputs;
    std::deque<std::pair<Base::TimePoint, Routing::RolloutState>> m_states;
    double m_requestsPerSecond = 0;
    /// Requests to the new version in the last loadWindow, with exponential decay.
    double m_newRequests = 0;
    std::uint64_t m_bad = 0;
    std::optional<Base::TimePoint> m_toldAt;
    Result m_result;
};

} // namespace

Scenario drawn(Badness badness, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto between = [&](double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(random);
    };
    Scenario scenario;
    scenario.badness = badness;
    scenario.seed = seed;
    scenario.hosts = static_cast<std::size_t>(between(3, 60));
    scenario.servers = static_cast<std::size_t>(between(3, 90));
    scenario.duration = milliseconds(static_cast<int>(between(12000, 30000)));
    scenario.routes = {between(60, 300), between(30, 120), between(8, 30)};
    scenario.badShare = between(0.2, 0.6);
    scenario.slowness = between(3, 8);
    scenario.badFrom = scenario.duration * static_cast<int>(between(10, 45)) / 100;
    scenario.usualFailures = between(0, 0.03);
    scenario.disturbance = between(0, 1) < 0.3 ? between(0.05, 0.4) : 0;
    scenario.disturbedFrom = milliseconds(static_cast<int>(between(0, 12000)));
    scenario.cutHosts = between(0, 1) < 0.2 ? 1 + scenario.hosts / 6 : 0;
    return scenario;
}

std::unique_ptr<Policy> sequentialTest(const Routing::RolloutState &state, Base::TimePoint now)
{
    return std::make_unique<SequentialPolicy>(state, now);
}

std::unique_ptr<Policy> singleTest(const Routing::RolloutState &state, Base::TimePoint now)
{
    return std::make_unique<SingleTestPolicy>(state, now);
}

Result play(const Scenario &scenario, const Routing::RolloutBounds &bounds, MakePolicy makePolicy)
{
    return Model(scenario, bounds, makePolicy).run();
}

} // namespace RolloutModels
