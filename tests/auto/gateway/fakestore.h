#pragma once

#include "gateway/answersink.h"
#include "gateway/storeprotocol.h"

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace Gateway {

/// A fake protocol whose answers consist of a version of the store only. The listed hosts are the
/// given rows and those that were written; the listed servers are the given entries.
class FakeStoreProtocol final : public StoreProtocol
{
public:
    HttpCall readConfiguration() const override { return {"GET", "/configuration", {}}; }
    HttpCall watchConfiguration(std::uint64_t version, Base::Milliseconds) const override
    {
        watchedVersions.push_back(version);
        return {"GET", "/watch", {}};
    }
    Base::Result<ConfigurationReading> configuration(const HttpAnswer &answer) const override
    {
        BOOST_LEAF_CHECK(checked(answer));
        Routing::RoutingConfiguration configuration;
        configuration.version = std::stoull(answer.body);
        // The store is never empty, since servers write to it before the operator does.
        ConfigurationReading reading{
            configuration.version + 1, configuration, evacuations, orderedRollouts, {}, true};
        // The store's version grows when the operator evacuates a zone, the configuration's does
        // not.
        if (answer.body == unchangedConfiguration)
            reading.configuration.reset();
        return reading;
    }
    HttpCall readServers(const std::string &) const override
    {
        ++serverListings;
        return {"GET", "/servers", {}};
    }
    HttpCall readServerChanges(std::uint64_t version) const override
    {
        serverChangesAfter.push_back(version);
        return {"GET", "/servers", {}};
    }
    /// All entries are told as changed each time, and all that were ever listed as removed.
    Base::Result<ServerReading> servers(const HttpAnswer &answer) const override
    {
        BOOST_LEAF_CHECK(checked(answer));
        ServerReading reading;
        reading.storeVersion = std::stoull(answer.body);
        reading.servers = entries;
        reading.removed.assign(m_listedServers.begin(), m_listedServers.end());
        for (const Routing::RegisteredServer &it : entries)
            m_listedServers.insert(it.start.name);
        return reading;
    }
    HttpCall readHosts(const std::string &continueFrom) const override
    {
        return {"GET", "/hosts" + continueFrom, {}};
    }
    Base::Result<HostReading> hosts(const HttpAnswer &answer, Base::Milliseconds) const override
    {
        BOOST_LEAF_CHECK(checked(answer));
        HostReading reading;
        reading.hosts = rows;
        reading.storeTime = std::chrono::seconds(100);
        std::istringstream lines(answer.body);
        std::string host;
        std::string zone;
        std::string address;
        while (lines >> host >> zone >> address)
            reading.hosts.push_back({Base::HostId(host), Base::ZoneId(zone), address});
        if (!nextHosts.empty()) {
            reading.hosts.insert(reading.hosts.end(), nextHosts.front().begin(),
                                 nextHosts.front().end());
            nextHosts.pop_front();
            reading.continueFrom = nextHosts.empty() ? "" : "?next";
        }
        return reading;
    }
    HttpCall writeHosts(const std::vector<HostRow> &written, Base::Milliseconds) const override
    {
        std::string body;
        for (const HostRow &row : written)
            body += row.host.value() + " " + row.zone.value() + " " + row.peerAddress + "\n";
        return {"POST", "/row", body};
    }
    HttpCall removeHost(const Base::HostId &) const override { return {"POST", "/row", "{}"}; }

    HttpCall readRollouts() const override { return {"GET", "/rollouts", {}}; }
    Base::Result<RolloutReading> rollouts(const HttpAnswer &answer) const override
    {
        BOOST_LEAF_CHECK(checked(answer));
        return RolloutReading{states, {}, std::chrono::seconds(100)};
    }
    HttpCall writeRollout(const Routing::RolloutState &state,
                          std::uint64_t previousRevision) const override
    {
        written.emplace_back(state, previousRevision);
        return {"POST", "/rollout", {}};
    }
    /// The answer is the version of the store at which the state was written; 0 if it was not.
    Base::Result<RolloutWriting> rolloutWritten(const HttpAnswer &answer) const override
    {
        BOOST_LEAF_CHECK(checked(answer));
        const std::uint64_t revision = std::stoull(answer.body);
        return RolloutWriting{revision > 0, revision};
    }

    HttpCall readVersions(const std::string &continueFrom) const override
    {
        return {"GET", "/versions" + continueFrom, {}};
    }
    Base::Result<VersionReading> versions(const HttpAnswer &answer) const override
    {
        BOOST_LEAF_CHECK(checked(answer));
        return VersionReading{versionRows, malformedVersionRows, {}, std::chrono::seconds(100)};
    }
    HttpCall writeVersions(const VersionChanges &changes) const override
    {
        versionChanges.push_back(changes);
        return {"POST", "/version", {}};
    }
    /// The answer is the version of the store at which the rows were written; 0 if they were not.
    Base::Result<VersionWriting> versionsWritten(const HttpAnswer &answer) const override
    {
        BOOST_LEAF_CHECK(checked(answer));
        const std::uint64_t revision = std::stoull(answer.body);
        return VersionWriting{revision > 0, revision};
    }

    HttpCall readStreams(const std::string &continueFrom) const override
    {
        return {"GET", "/streams" + continueFrom, {}};
    }
    Base::Result<StreamReading> streams(const HttpAnswer &answer) const override
    {
        BOOST_LEAF_CHECK(checked(answer));
        StreamReading reading{streamRows, malformedStreamRows, {}, std::chrono::seconds(100)};
        if (!nextStreams.empty()) {
            reading.rows = nextStreams.front();
            nextStreams.pop_front();
            reading.continueFrom = nextStreams.empty() ? "" : "?next";
        }
        return reading;
    }
    HttpCall writeStreams(const StreamChanges &changes) const override
    {
        streamChanges.push_back(changes);
        return {"POST", "/stream", {}};
    }
    Base::Result<void> streamsWritten(const HttpAnswer &answer) const override
    {
        return checked(answer);
    }

    std::vector<StreamRow> streamRows;
    std::vector<std::string> malformedStreamRows;
    /// In place of streamRows, page by page.
    mutable std::deque<std::vector<StreamRow>> nextStreams;
    /// The changes of rows of streams that were to be written.
    mutable std::vector<StreamChanges> streamChanges;
    std::vector<VersionRow> versionRows;
    std::vector<VersionRow> malformedVersionRows;
    /// The changes of rows of software versions that were to be written.
    mutable std::vector<VersionChanges> versionChanges;
    std::vector<HostRow> rows;
    /// Further rows of hosts, page by page.
    mutable std::deque<std::vector<HostRow>> nextHosts;
    std::vector<Routing::RegisteredServer> entries;
    std::vector<Routing::EvacuationChange> evacuations;
    std::vector<Routing::RolloutOrderChange> orderedRollouts;
    std::vector<Routing::RolloutState> states;
    /// The states that were to be written, with the revisions that the writes were bound to.
    mutable std::vector<std::pair<Routing::RolloutState, std::uint64_t>> written;
    /// The versions from which changes were watched.
    mutable std::vector<std::uint64_t> watchedVersions;
    /// How often all servers were to be listed, and the versions from which changes were to be
    /// read.
    mutable int serverListings = 0;
    mutable std::vector<std::uint64_t> serverChangesAfter;
    /// At this version of the store, it returns no configuration.
    std::string unchangedConfiguration;

private:
    mutable std::set<std::string> m_listedServers;

    static Base::Result<void> checked(const HttpAnswer &answer)
    {
        if (answer.status == 410)
            return boost::leaf::new_error(StoreHistoryGone());
        if (answer.status != 200)
            return boost::leaf::new_error(StoreRefused{answer.status});
        return {};
    }
};

/// A fake store on loopback. It answers each path with its version or, if a test sets it so, with
/// 503 or not at all.
class FakeStore final : public RequestHandler
{
public:
    std::shared_ptr<ActiveRequest> handle(CallerRequest request, AnswerSink &sink) override
    {
        const std::string path(request.message.target());
        ++calls[path];
        if (std::exchange(dropsNextCall[path], false)) {
            sink.abortAnswer();
            return nullptr;
        }
        ResponseHead head;
        head.result(refused[path] ? 503U : 200U);
        if (std::exchange(dropsHistory[path], false))
            head.result(410U);
        if (path == "/row")
            writtenRows += request.message.body();
        sink.sendAnswer(head, path == "/hosts" ? writtenRows : std::to_string(version));
        return nullptr;
    }

    std::uint64_t version = 7;
    /// The rows that hosts wrote, one per line.
    std::string writtenRows;
    std::map<std::string, int> calls;
    std::map<std::string, bool> refused;
    /// The next call of the path finds that the history does not reach back far enough.
    std::map<std::string, bool> dropsHistory;
    /// The next call of the path loses its connection without an answer.
    std::map<std::string, bool> dropsNextCall;
};

} // namespace Gateway
