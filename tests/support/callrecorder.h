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
struct CallRecord
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
class CallRecorder final : public VirtualFleet::CallerListener
{
public:
    explicit CallRecorder(VirtualFleet::Fleet &fleet)
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
        CallRecord &record = records[caller];
        record.work = {customer, promptTokens, generatedTokens, caller};
        record.router = router;
        record.incarnation = m_fleet->router(router)->incarnation();
        record.isRepeatable = key.empty();
        record.key = key;
        Node::CallerRequest request;
        request.caller = caller;
        request.target = "m";
        request.body = VirtualFleet::encodeWork(record.work);
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
    bool isEntryAlive(const CallRecord &record) const
    {
        const VirtualFleet::VirtualRouter *router = m_fleet->router(record.router);
        return router && !router->isFrozen() && router->incarnation() == record.incarnation;
    }

    /// How often the backend servers started the request with this \a serial.
    std::size_t timesRun(std::uint64_t serial) const
    {
        std::size_t times = 0;
        for (const auto &[id, server] : m_fleet->servers()) {
            const std::vector<std::uint64_t> &startedSerials = server->startedSerials();
            times += static_cast<std::size_t>(
                std::count(startedSerials.begin(), startedSerials.end(), serial));
        }
        return times;
    }

    void started(Node::CallerId) override {}
    void part(Node::CallerId caller, const std::string &payload) override
    {
        records[caller].parts.push_back(payload);
    }
    void finished(Node::CallerId caller) override { records[caller].isFinished = true; }
    void failed(Node::CallerId caller, const Node::Failure &failure) override
    {
        records[caller].failures.push_back(failure);
    }

    std::map<Node::CallerId, CallRecord> records;

private:
    VirtualFleet::Fleet *m_fleet;
    Node::CallerId m_last = 0;
};

} // namespace Fakes
