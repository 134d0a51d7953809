#pragma once

#include "node/environment.h"
#include "node/event.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Small fakes for the interfaces of a node. Each one only records the calls that it receives;
/// the test decides how they are answered.
namespace Fakes {

/// Everything that a node sent to one caller.
struct CallerLog
{
    std::optional<Node::AnswerHead> head;
    std::vector<std::string> parts;
    bool isFinished = false;
    std::optional<Node::Failure> failure;
    std::optional<Node::EntryHostList> entryHosts;
    std::optional<Node::TargetList> targets;
};

/// Records the answers that a node sends to its callers.
class Callers final : public Node::CallerSink
{
public:
    void startAnswer(Node::CallerId caller, const Node::AnswerHead &head) override
    {
        logs[caller].head = head;
    }
    void appendAnswer(Node::CallerId caller, const Node::AnswerPart &part) override
    {
        logs[caller].parts.push_back(part.payload);
    }
    void finishAnswer(Node::CallerId caller) override { logs[caller].isFinished = true; }
    void fail(Node::CallerId caller, const Node::Failure &failure) override
    {
        logs[caller].failure = failure;
    }
    void sendEntryHosts(Node::CallerId caller, const Node::EntryHostList &list) override
    {
        logs[caller].entryHosts = list;
    }
    void sendTargets(Node::CallerId caller, const Node::TargetList &list) override
    {
        logs[caller].targets = list;
    }
    void sendStatus(Node::CallerId, const Node::NodeStatus &) override {}

    std::map<Node::CallerId, CallerLog> logs;
};

/// One message that a node sent to another host.
struct SentMessage
{
    Base::HostId to;
    Node::PeerMessage message;
};

/// Records the messages that a node sends to other hosts; delivers none.
class Peers final : public Node::PeerTransport
{
public:
    void send(const Base::HostId &to, const std::string &,
              const Node::PeerMessage &message) override
    {
        sent.push_back({to, message});
    }

    std::deque<SentMessage> sent;
};

/// Records the requests that a node sends to backend servers; answers none.
class Backends final : public Node::BackendClient
{
public:
    void send(const Node::BackendRequest &request) override { sent.push_back(request); }
    void cancel(const Node::AttemptId &attempt) override { cancelled.push_back(attempt); }
    void pause(const Node::AttemptId &attempt) override { paused.push_back(attempt); }
    void resume(const Node::AttemptId &attempt) override { resumed.push_back(attempt); }
    void pollLoad(const Base::ServerId &server, const std::string &) override
    {
        polled.push_back(server);
    }

    std::deque<Node::BackendRequest> sent;
    std::vector<Node::AttemptId> cancelled;
    std::vector<Node::AttemptId> paused;
    std::vector<Node::AttemptId> resumed;
    std::vector<Base::ServerId> polled;
};

/// The platform's table in memory. All nodes of a test share one instance, so that each sees the
/// writes of the others. Every call takes effect and is answered at once.
class Table
{
public:
    Storage::TableOutcome read(Storage::OperationId operation, const std::string &key)
    {
        Storage::TableOutcome outcome{operation, Storage::TableStatus::Done, {}};
        const auto it = rows.find(key);
        if (it != rows.end())
            outcome.rows.push_back(it->second);
        return outcome;
    }

    Storage::TableOutcome scan(Storage::OperationId operation, const std::string &prefix,
                               const std::string &after, std::size_t limit)
    {
        Storage::TableOutcome outcome{operation, Storage::TableStatus::Done, {}};
        for (auto it = rows.upper_bound(std::max(prefix, after)); it != rows.end(); ++it) {
            if (it->first.rfind(prefix, 0) != 0 || outcome.rows.size() == limit)
                break;
            outcome.rows.push_back(it->second);
        }
        return outcome;
    }

    Storage::TableOutcome transact(Storage::OperationId operation,
                                   const std::vector<Storage::TableWrite> &writes)
    {
        Storage::TableOutcome outcome{operation, Storage::TableStatus::Done, {}};
        for (const Storage::TableWrite &write : writes) {
            const auto it = rows.find(write.key);
            const Storage::RowVersion version = it == rows.end() ? 0 : it->second.version;
            if (write.expected && *write.expected != version)
                return {operation, Storage::TableStatus::Conflict, {}};
        }
        for (const Storage::TableWrite &write : writes) {
            if (!write.value) {
                rows.erase(write.key);
                continue;
            }
            rows[write.key] = {write.key, *write.value, ++lastVersion};
            outcome.rows.push_back(rows[write.key]);
        }
        return outcome;
    }

    std::map<std::string, Storage::TableRow> rows;
    Storage::RowVersion lastVersion = 0;
};

/// One node's connection to the shared table. A call takes effect at once; its answer waits in
/// `answers` until the test passes it on, drops it or replaces it by Unknown.
class TableConnection final : public Storage::TableService
{
public:
    explicit TableConnection(Table &table)
        : m_table(&table)
    {}

    void read(Storage::OperationId operation, const std::string &key) override
    {
        answers.push_back(m_table->read(operation, key));
    }
    void scan(Storage::OperationId operation, const std::string &prefix, const std::string &after,
              std::size_t limit) override
    {
        answers.push_back(m_table->scan(operation, prefix, after, limit));
    }
    void transact(Storage::OperationId operation,
                  const std::vector<Storage::TableWrite> &writes) override
    {
        answers.push_back(m_table->transact(operation, writes));
    }

    std::deque<Storage::TableOutcome> answers;

private:
    Table *m_table;
};

/// An object store that never answers.
class Objects final : public Storage::ObjectStore
{
public:
    void put(Storage::OperationId, const std::string &, const std::string &) override {}
    void get(Storage::OperationId, const std::string &) override {}
};

/// Records the finished hops and requests, and counts the retries.
class Observer final : public Node::NodeObserver
{
public:
    void hopFinished(const Node::HopRecord &record) override { hops.push_back(record); }
    void requestFinished(const Node::RequestRecord &record) override { requests.push_back(record); }
    void retried(const Base::RequestKey &) override { ++retries; }

    std::vector<Node::HopRecord> hops;
    std::vector<Node::RequestRecord> requests;
    int retries = 0;
};

/// A wall clock that the test sets.
class FixedWallClock final : public Node::WallClock
{
public:
    Base::WallTime now() const override { return wall; }

    Base::WallTime wall{};
};

} // namespace Fakes
