#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/answersamples.h"
#include "routing/work.h"

#include <cstddef>
#include <optional>
#include <string>

namespace Gateway {

/// Measures one attempt at a server, so that software versions can be compared.
class AttemptSampler
{
public:
    /// Begins an attempt. \a usualStart is the time to the first event that is expected of a server
    /// that is not slow; zero if none is known.
    void begin(const std::string &softwareVersion, Base::Duration usualStart, Base::TimePoint now);
    void eventsArrived(std::size_t count, Base::TimePoint now);
    bool isRunning() const { return m_isRunning; }
    const std::string &softwareVersion() const { return m_softwareVersion; }
    Base::TimePoint sentAt() const { return m_sentAt; }
    /// Ends the attempt. Returns nothing if \a outcome does not tell how well the server works.
    std::optional<Routing::AnswerSample> end(Routing::AttemptOutcome outcome, Base::TimePoint now);

private:
    bool m_isRunning = false;
    std::string m_softwareVersion;
    Base::Duration m_usualStart{};
    Base::TimePoint m_sentAt{};
    Base::TimePoint m_firstEventAt{};
    Base::TimePoint m_lastEventAt{};
    std::size_t m_events = 0;
};

/// An attempt at a server that has ended, as far as software versions are compared by it.
struct ComparedAttempt
{
    Base::ServerId server;
    std::string softwareVersion;
    /// Empty if the end tells nothing of the server, such as that the caller left.
    std::optional<Routing::AnswerSample> sample;
    Base::TimePoint sentAt;
};

} // namespace Gateway
