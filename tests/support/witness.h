#pragma once

#include "virtualfleet/callerlistener.h"
#include "virtualfleet/fleet.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Fakes {

/// One request and what its caller received.
struct Testimony
{
    VirtualFleet::Work work;
    std::size_t router = 0;
    Base::Incarnation incarnation = 0;
    bool isRepeatable = true;
    std::string key;
    std::vector<std::string> parts;
    bool isFinished = false;
    std::vector<Node::Failure> failures;

    bool hasFinalAnswer() const { return isFinished || !failures.empty(); }
    /// Whether the answer consists of every part of this request, in order, and of nothing else.
    bool isWhole() const
    {
        for (std::size_t i = 0; i < parts.size(); ++i) {
            if (parts[i] != std::to_string(work.serial) + ':' + std::to_string(i))
                return false;
        }
        const std::uint32_t later = work.generatedTokens > 0 ? work.generatedTokens - 1 : 0;
        constexpr std::uint32_t tokensPerPart = 8;
        return parts.size() == 1 + (later + tokensPerPart - 1) / tokensPerPart;
    }
};

/// Sends requests to a virtual fleet and records the answer to each.
class Witness final : public VirtualFleet::CallerListener
{
public:
    explicit Witness(VirtualFleet::Fleet &fleet)
        : m_fleet(&fleet)
    {
        fleet.setListener(this);
    }

    /// Sends a request to \a router and returns its caller; 0 if the router is down. A request with
    /// an idempotency \a key is not repeatable.
    Node::CallerId ask(std::size_t router, const Base::CustomerId &customer,
                       const std::string &workClass, std::uint32_t promptTokens,
                       std::uint32_t generatedTokens, const std::string &key = {})
    {
        const Node::CallerId caller = ++m_last;
        if (!m_fleet->router(router))
            return 0;
        Testimony &testimony = all[caller];
        testimony.work = {customer, promptTokens, generatedTokens, caller};
        testimony.router = router;
        testimony.incarnation = m_fleet->router(router)->incarnation();
        testimony.isRepeatable = key.empty();
        testimony.key = key;
        Node::CallerRequest request;
        request.caller = caller;
        request.target = "m";
        request.body = VirtualFleet::encodeWork(testimony.work);
        request.isStreaming = true;
        request.keyDigest = VirtualFleet::keyDigestOf(customer);
        request.workClass = Base::ClassId(workClass);
        request.promptTokens = promptTokens;
        request.maxTokens = generatedTokens;
        request.isRepeatable = key.empty();
        request.idempotencyKey = key;
        m_fleet->submit(router, request);
        return caller;
    }

    /// Whether the router that took the request has neither restarted nor frozen since.
    bool isEntryAlive(const Testimony &testimony) const
    {
        const VirtualFleet::VirtualRouter *router = m_fleet->router(testimony.router);
        return router && !router->isFrozen() && router->incarnation() == testimony.incarnation;
    }

    /// How often the backend servers started the request with this \a serial.
    std::size_t timesRun(std::uint64_t serial) const
    {
        std::size_t times = 0;
        for (const auto &[id, server] : m_fleet->servers()) {
            const std::vector<std::uint64_t> &journal = server->journal();
            times += static_cast<std::size_t>(std::count(journal.begin(), journal.end(), serial));
        }
        return times;
    }

    void started(Node::CallerId) override {}
    void part(Node::CallerId caller, const std::string &payload) override
    {
        all[caller].parts.push_back(payload);
    }
    void finished(Node::CallerId caller) override { all[caller].isFinished = true; }
    void failed(Node::CallerId caller, const Node::Failure &failure) override
    {
        all[caller].failures.push_back(failure);
    }

    std::map<Node::CallerId, Testimony> all;

private:
    VirtualFleet::Fleet *m_fleet;
    Node::CallerId m_last = 0;
};

} // namespace Fakes
