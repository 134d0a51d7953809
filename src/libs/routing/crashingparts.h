#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/crashhistory.h"
#include "routing/work.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace Routing {

/// An entry of CrashingParts as hosts report it to each other, with an age instead of a time.
struct PartReport
{
    enum class Kind : std::uint8_t {
        End,     ///< A server ended under a request with the part.
        Sound,   ///< A request with the part was answered.
        Blocked, ///< Requests with the part are not sent any more.
    };

    std::uint64_t part = 0;
    Kind kind = Kind::End;
    /// Empty unless a server ended.
    Base::ServerId server;
    /// Age of the attempt under which the server ended.
    Base::Milliseconds sentAge{0};
    /// Age of the end, of the begin of the answer, or of the decision to block.
    Base::Milliseconds age{0};
    bool isSilence = false;
    /// The digest of what the request asked for.
    std::uint64_t content = 0;

    bool operator==(const PartReport &) const = default;
};

/// Finds the parts of prompts that end each server that begins to answer a request with them, from
/// the ends of servers that all hosts see, and tells which requests must not be sent any more.
///
/// No two of these requests are alike, and sound requests share their customers and their other
/// parts. Many sound requests run at a server that ends. They must not be blamed:
/// - An end does not count if the server has answered anything later, or if it fell silent and is
///   still in service.
/// - Ends at nearly the same time, under attempts that ran side by side, have a common cause and
///   count as one.
/// - Ends under one request and its repeats alone do not count, since CrashHistory knows such a
///   request.
/// - While most servers end without the part, \a maxOddEnds ends are needed, and so many for a part
///   that was answered lately, of which no answer began for \a soundWait.
/// - An answer to a request with the part clears the ends before that answer began.
/// - An end under a request with a blocked part counts for no other part.
/// - Parts under which equally many servers ended are blocked after \a maxTiedEnds ends only.
class CrashingParts
{
public:
    static constexpr unsigned maxEnds = 3;
    static constexpr unsigned maxTiedEnds = 4;
    static constexpr unsigned maxOddEnds = 4;
    /// The time for which an answer must go on to show that its request does not end servers.
    static constexpr Base::Duration proofTime = std::chrono::milliseconds(500);
    static constexpr Base::Duration soundWait = std::chrono::seconds(2);
    /// Ends are counted for this long.
    static constexpr Base::Duration memory = std::chrono::seconds(60);
    /// A block lasts this long. One further end within the same time after it blocks the part
    /// again.
    static constexpr Base::Duration blockTime = std::chrono::hours(1);

    /// \a life must outlive this object.
    explicit CrashingParts(const ServerLife &life)
        : m_life(&life)
    {}

    /// Records that an attempt of a request with \a parts, whose answer had not begun \a proofTime
    /// ago, broke or fell silent. Returns whether another host should know at once.
    bool recordEnd(std::span<const PromptPart> parts, const ServerEnd &end, Base::TimePoint now);
    /// Records that the answer to a request with \a parts, begun at \a beganAt, came whole or went
    /// on for \a proofTime.
    void recordSound(std::span<const PromptPart> parts, Base::TimePoint beganAt,
                     Base::TimePoint now);
    /// Takes in the entries of another host.
    void apply(const std::vector<PartReport> &reports, Base::TimePoint now);
    /// Returns the latest entries for a report, blocked parts first.
    std::vector<PartReport> recent(Base::TimePoint now) const;

    /// Returns the part that forbids to send a request with \a parts now; empty if none does.
    std::optional<std::uint64_t> blockedPart(std::span<const PromptPart> parts,
                                             Base::TimePoint now);
    /// Returns whether a request with \a parts must not be repeated, since the servers that ended
    /// last may have ended under one of them.
    bool isSuspect(std::span<const PromptPart> parts, Base::TimePoint now) const;
    /// Returns the number of blocked parts.
    std::size_t blocked(Base::TimePoint now) const;
    /// Returns the parts that were blocked since the last call.
    std::vector<std::uint64_t> takeNewlyBlocked();
    /// Forgets what is too old, and blocks parts.
    void advance(Base::TimePoint now);

private:
    struct Entry
    {
        /// Ordered by the time of the end; one for each server.
        std::vector<ServerEnd> ends;
        /// The begin of the latest answer that proves the part sound.
        Base::TimePoint soundAt = Base::TimePoint::min();
        Base::TimePoint blockedAt = Base::TimePoint::min();

        bool isBlocked(Base::TimePoint now) const;
        bool wasBlocked() const { return blockedAt != Base::TimePoint::min(); }
    };
    using Entries = std::map<std::uint64_t, Entry>;

    /// Whether \a entry would be blocked if it were sure that the last server has ended.
    bool isUnsettled(const Entry &entry, Base::TimePoint now) const;
    Entry &entry(std::uint64_t part);
    void addEnd(Entry &entry, const ServerEnd &end);
    void setSound(Entry &entry, Base::TimePoint beganAt);
    void setBlocked(std::uint64_t part, Entry &entry, Base::TimePoint at, Base::TimePoint now);
    bool hasEnded(const ServerEnd &end, Base::Duration settleTime, Base::TimePoint now) const;
    /// Returns the ends of \a entry that count, those of nearly the same time once, and none of one
    /// request alone. An end counts when it is \a settleTime old.
    std::vector<Base::TimePoint> countedEnds(const Entry &entry, Base::Duration settleTime,
                                             Base::TimePoint now) const;
    bool isKnownSound(const Entry &entry, Base::TimePoint now) const;
    /// Blocks the parts that the known ends prove to end servers.
    void judge(Base::TimePoint now);
    /// Returns how many servers have ended since \a from, as far as no blocked part explains it.
    std::size_t serversEnded(Base::TimePoint from, Base::TimePoint now) const;
    /// Clears blocked parts if too few of the servers have ended after all.
    void clearRefuted(Base::TimePoint now);
    /// Blocks the parts with most ends. Returns whether there are any.
    bool blockWorst(bool isKnownSound, Base::TimePoint now);

    const ServerLife *m_life;
    Entries m_entries;
    /// The servers that ended under requests with blocked parts.
    std::set<Base::ServerId> m_explained;
    std::vector<std::uint64_t> m_newlyBlocked;
    Base::TimePoint m_judgedAt = Base::TimePoint::min();
    bool m_hasEnds = false;
};

} // namespace Routing
