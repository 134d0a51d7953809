#pragma once

#include "gateway/acceptedrequest.h"
#include "gateway/headernames.h"
#include "gateway/requestmemory.h"
#include "routing/streamorigins.h"

#include <optional>
#include <string>

namespace Gateway {

/// Binds one request's stream to the software version that began it, whether this request began the
/// stream or its caller takes it up.
class StreamBinding
{
public:
    /// For a request that is no stream, nothing is ever bound.
    static StreamBinding create(const AcceptedRequest &accepted, const HeaderNames &names);

    /// Whether the caller takes up a stream.
    bool isTakenUp() const { return m_isTakenUp; }
    /// Binds a stream that its caller took up at \a takenUpAt to the version that may go on with
    /// it, if there is one. Returns where it may go on.
    Routing::Continuation bindTakenUp(const Routing::StreamOrigins &origins,
                                      Base::TimePoint takenUpAt, Base::TimePoint now);
    /// Binds the stream to the server that sent its first event, unless it is bound already.
    void bindBegun(RequestMemory &memory, const std::string &softwareVersion, Base::TimePoint now);
    /// The only version that may go on; empty if any may.
    const std::optional<std::string> &softwareVersion() const { return m_softwareVersion; }
    bool allows(const Routing::RegisteredServer &server) const
    {
        return !m_softwareVersion || *m_softwareVersion == server.softwareVersion;
    }

private:
    StreamBinding() = default;

    bool m_isResumable = false;
    bool m_isTakenUp = false;
    std::string m_service;
    /// Empty if the caller takes up a stream that it does not name.
    std::optional<Routing::StreamId> m_stream;
    std::optional<std::string> m_softwareVersion;
    /// Whether the hosts are told which version began the stream.
    bool m_isOriginRecorded = false;
};

} // namespace Gateway
