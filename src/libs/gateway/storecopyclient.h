#pragma once

#include "base/time.h"
#include "gateway/hostreport.h"
#include "gateway/httpclient.h"
#include "gateway/storecopy.h"

#include <map>
#include <memory>
#include <string>

namespace Gateway {

class EventLog;

/// Receives the copies of store data that a StoreCopyClient fetches from another host.
class StoreCopyListener
{
public:
    virtual ~StoreCopyListener() = default;
    /// \a askedAt is when the request to the other host was sent.
    virtual void configurationCopied(const StoreCopy &copy, Base::TimePoint askedAt) = 0;
    /// \a report lists all usable servers, with the age of the proof that they are current.
    virtual void serversCopied(const HostReport &report, Base::TimePoint askedAt) = 0;
    /// No usable answer came in time; the data have to be read from the store instead.
    virtual void copyFailed(StoreData what) = 0;
};

/// Fetches copies of the configuration and of the list of backend servers from another host of the
/// zone, over HTTP.
///
/// Hundreds of hosts may start, or learn of a new configuration, at the same moment. If each of
/// them read the store, the number of calls, all of which cost money, would grow with the number of
/// hosts, and a host that the store refuses would not get a configuration that its neighbours have.
/// Copies from a neighbour put no load on the store: without them, 1,900 of the 3,500 store calls
/// that 195 hosts made up to 6 s after the beginning of a load were readings of the configuration.
class StoreCopyClient
{
public:
    /// The arguments must outlive the client.
    StoreCopyClient(boost::asio::io_context &io, StoreCopyListener &listener, EventLog &log);

    /// Schedules a request for \a what to the host at \a peerAddress, no earlier than at
    /// \a earliestAt. Requests for the same data are merged until advance() sends one.
    void requestCopy(StoreData what, const std::string &peerAddress,
                     Base::TimePoint earliestAt = Base::TimePoint{});
    /// Sends the requests that are due. Must be called every few tens of milliseconds.
    void advance(Base::TimePoint now);

private:
    struct PendingCopy
    {
        bool isRequested = false;
        std::string peerAddress;
        Base::TimePoint earliestAt{};
    };

    void sendRequest(StoreData what, PendingCopy &pending, Base::TimePoint now);
    void answerReceived(StoreData what, const std::optional<HttpAnswer> &answer,
                        Base::TimePoint askedAt);
    void reportFailure(StoreData what, const char *why);

    boost::asio::io_context *m_io;
    StoreCopyListener *m_listener;
    EventLog *m_log;
    std::map<StoreData, PendingCopy> m_pendingCopies;
    std::shared_ptr<HttpClient> m_client;
    std::string m_clientAddress;
};

} // namespace Gateway
