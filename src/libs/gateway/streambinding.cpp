#include "gateway/streambinding.h"

namespace Gateway {

StreamBinding StreamBinding::create(const AcceptedRequest &accepted, const HeaderNames &names)
{
    StreamBinding binding;
    if (!accepted.route->isStream())
        return binding;
    const std::string resumed(field(accepted.request.message, names.resumedRequestId));
    const bool hasLastEvent =
        parseNumber(field(accepted.request.message, names.lastEventId)) != std::nullopt;
    binding.m_isResumable = accepted.route->kind == Routing::WorkKind::ResumableStream;
    binding.m_isTakenUp = hasLastEvent || !resumed.empty();
    binding.m_service = accepted.service;
    if (!binding.m_isTakenUp)
        binding.m_stream = Routing::streamId(accepted.customer, accepted.requestId);
    else if (!resumed.empty())
        binding.m_stream = Routing::streamId(accepted.customer, resumed);
    return binding;
}

Routing::Continuation StreamBinding::bindTakenUp(const Routing::StreamOrigins &origins,
                                                 Base::TimePoint takenUpAt, Base::TimePoint now)
{
    Routing::Continuation it = origins.takeUp(m_service, m_stream, takenUpAt, now);
    m_isOriginRecorded = it.kind == Routing::Continuation::Kind::SameVersion;
    if (m_isOriginRecorded || !it.softwareVersion.empty())
        m_softwareVersion = it.softwareVersion;
    return it;
}

void StreamBinding::bindBegun(RequestMemory &memory, const std::string &softwareVersion,
                              Base::TimePoint now)
{
    if (m_isOriginRecorded || !m_isResumable)
        return;
    m_isOriginRecorded = true;
    m_softwareVersion = softwareVersion;
    if (m_stream)
        memory.recordStreamBegun(*m_stream, {m_service, softwareVersion}, now);
}

} // namespace Gateway
