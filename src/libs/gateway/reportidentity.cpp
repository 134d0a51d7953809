#include "gateway/reportidentity.h"

#include <chrono>
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

} // namespace Gateway
