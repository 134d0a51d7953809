#pragma once

#include "base/random.h"
#include "node/node.h"
#include "virtualfleet/callerlistener.h"
#include "virtualfleet/eventqueue.h"
#include "virtualfleet/modelserver.h"
#include "virtualfleet/virtualtable.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace VirtualFleet {

class Fleet;

/// One run of one router's process, from start to kill: a node core with fakes at its interfaces in
/// virtual time. A restart of the router is a new VirtualRouter.
class VirtualRouter final : private Node::CallerSink,
                            private Node::PeerTransport,
                            private Node::BackendClient,
                            private Storage::ObjectStore,
                            private Node::NodeObserver,
                            private Node::WallClock
{
public:
    VirtualRouter(Fleet &fleet, std::size_t index, Base::Incarnation incarnation);
    ~VirtualRouter() override;

    Node::Node &node() { return *m_node; }
    const Node::Node &node() const { return *m_node; }
    std::size_t index() const { return m_index; }
    Base::Incarnation incarnation() const { return m_incarnation; }

    /// Passes an event to the node. A frozen router keeps its events until it is thawed.
    void handle(const Node::Event &event);
    /// Freezes or thaws the router, like a process that gets no processor time.
    void setFrozen(bool isFrozen);
    bool isFrozen() const { return m_isFrozen; }
    /// Breaks the connection of every open exchange with \a server. If \a isWorkLost, the server
    /// cancels the work; else it keeps the stream so that it can be resumed.
    void breakTransfers(const Base::ServerId &server, bool isWorkLost);
    /// Starts the timer that advances the node.
    void start();

    /// Returns the bytes of this kind that were sent to other routers, as Fleet::messageSize()
    /// counts them.
    std::uint64_t bytesSent(Coordination::TrafficKind kind) const;
    std::uint64_t bytesSent() const;
    std::uint64_t messagesSent() const { return m_messages; }
    /// Returns the number of callers' requests that reached the node and have not ended.
    std::size_t openRequests() const { return m_openRequests; }

private:
    class Transfer;

    void startAnswer(Node::CallerId caller, const Node::AnswerHead &head) override;
    void appendAnswer(Node::CallerId caller, const Node::AnswerPart &part) override;
    void finishAnswer(Node::CallerId caller) override;
    void fail(Node::CallerId caller, const Node::Failure &failure) override;
    void sendEntryHosts(Node::CallerId caller, const Node::EntryHostList &list) override;
    void sendTargets(Node::CallerId caller, const Node::TargetList &list) override;
    void sendStatus(Node::CallerId caller, const Node::NodeStatus &status) override;

    void send(const Base::HostId &to, const std::string &address,
              const Node::PeerMessage &message) override;

    void send(const Node::BackendRequest &request) override;
    void cancel(const Node::AttemptId &attempt) override;
    void pause(const Node::AttemptId &attempt) override;
    void resume(const Node::AttemptId &attempt) override;
    void pollLoad(const Base::ServerId &server, const std::string &address) override;

    void put(Storage::OperationId operation, const std::string &key,
             const std::string &value) override;
    void get(Storage::OperationId operation, const std::string &key) override;

    void hopFinished(const Node::HopRecord &record) override;
    void requestFinished(const Node::RequestRecord &record) override;
    void retried(const Base::RequestKey &request) override;

    Base::WallTime now() const override;

    void submitTo(ModelServer &server, const std::shared_ptr<Transfer> &transfer,
                  const Node::BackendRequest &request);
    void tick();
    /// Runs \a action after \a delay unless this router has been killed by then.
    void runAfter(Base::Duration delay, std::function<void()> action);

    Fleet *m_fleet;
    std::size_t m_index;
    Base::Incarnation m_incarnation;
    Base::SeededRandom m_random;
    /// Shared with scheduled actions, which may outlive this object; false once it is destroyed.
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
    TableLink m_table;
    std::unique_ptr<Node::Node> m_node;
    std::map<Node::AttemptId, std::shared_ptr<Transfer>> m_transfers;
    std::vector<Node::Event> m_heldEvents;
    std::array<std::uint64_t, Coordination::trafficKindCount> m_bytes{};
    std::uint64_t m_messages = 0;
    std::size_t m_openRequests = 0;
    bool m_isFrozen = false;
};

} // namespace VirtualFleet
