#include "gateway/reportidentity.h"

#include "base/hash.h"

#include <chrono>
#include <cinttypes>
#include <cstdio>
#include <random>

namespace Gateway {

ReportIdentity ReportIdentity::create()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    std::random_device device;
    ReportIdentity identity;
    identity.incarnation = static_cast<Base::Incarnation>(
        std::chrono::duration_cast<std::chrono::microseconds>(since).count());
    identity.sequence = (static_cast<std::uint64_t>(device()) << 28) + device();
    return identity;
}

std::string ReportIdentity::nameFor(const Base::HostId &host) const
{
    char name[17];
    std::snprintf(name, sizeof(name), "%016" PRIx64, Base::stableHash(host.value(), incarnation));
    return name;
}

} // namespace Gateway
