#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>

namespace Gateway {

/// What tells the reports of one start of a host apart from each other and from those of its other
/// starts.
struct ReportIdentity
{
    /// A later start has a larger number.
    Base::Incarnation incarnation = 0;
    /// The number of the last report.
    std::uint64_t sequence = 0;

    /// Returns the identity of a start that begins now. The sequence has a random start, since an
    /// echo of an earlier start's report proves nothing.
    static ReportIdentity create();
    /// Returns a name of 16 letters and digits for this start of \a host.
    std::string nameFor(const Base::HostId &host) const;
};

} // namespace Gateway
