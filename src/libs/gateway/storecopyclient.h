#pragma once

#include "base/time.h"
#include "gateway/httpclient.h"
#include "gateway/storecopy.h"

#include <map>
#include <memory>
#include <string>

namespace Gateway {

class EventLog;

/// Told what another host of the zone knows of the store.
class StoreCopyListener
{
public:
    virtual ~StoreCopyListener() = default;
    /// \a askedAt is when the other host was asked.
    virtual void configurationCopied(const ConfigurationCopy &copy, Base::TimePoint askedAt) = 0;
    virtual void serversCopied(const HostReport &report, Base::TimePoint askedAt) = 0;
    /// No answer came in time, or none that can be used: the store is to be asked.
    virtual void copyFailed(StoreData what) = 0;
};

/// Takes the configuration and the list of backend servers from another host of the zone.
///
/// Load: hundreds of hosts start, or learn of a new configuration, at the same moment. Each asking
/// the store for itself makes calls in proportion to hosts, all are paid for, and a host that the
/// store turns away goes without the new configuration although its neighbours have it. Asked of a
/// neighbour they cost the store nothing: of 3,500 calls until six seconds after the beginning of a
/// load on 195 hosts, 1,900 were readings of the configuration by each host.
class StoreCopyClient
{
public:
    /// The arguments outlive the client.
    StoreCopyClient(boost::asio::io_context &io, StoreCopyListener &listener, EventLog &log);

    /// Asks the host at \a peerAddress, soon. A question that is under way is not asked again.
    void requestCopy(StoreData what, const std::string &peerAddress);
    /// Does what is due. Call it every few ten milliseconds.
    void advance(Base::TimePoint now);

private:
    struct Question
    {
        bool isWanted = false;
        std::string peerAddress;
        Base::TimePoint nextAt{};
    };

    void ask(StoreData what, Question &question, Base::TimePoint now);
    void answered(StoreData what, const std::optional<HttpAnswer> &answer, Base::TimePoint askedAt);
    void failed(StoreData what, const char *why);

    boost::asio::io_context *m_io;
    StoreCopyListener *m_listener;
    EventLog *m_log;
    std::map<StoreData, Question> m_questions;
    std::shared_ptr<HttpLane> m_lane;
    std::string m_laneAddress;
};

} // namespace Gateway
