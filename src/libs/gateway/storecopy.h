#pragma once

#include "base/result.h"
#include "base/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

/// The kinds of store data of which hosts fetch copies from each other.
enum class StoreData : std::uint8_t { Configuration, Servers };

/// HTTP path of \a what at a host's peer address.
const char *copyPath(StoreData what);

/// Copy of the data of the store that a host uses.
struct StoreCopy
{
    /// Time between the call to the store whose answer confirmed that the data was current and the
    /// answer that carries this copy.
    Base::Milliseconds proofAge{0};
    /// The store's answer with the configuration, unchanged; or an encoded report that lists every
    /// usable server as a change of the kind "found".
    std::string text;
};

/// Error: the bytes are no encoded copy.
struct MalformedCopy
{};

/// Encodes \a copy as CBOR.
std::string encodeCopy(const StoreCopy &copy);
/// Decodes a copy. \a bytes may be arbitrary; fails with MalformedCopy.
Base::Result<StoreCopy> decodeCopy(std::string_view bytes);

/// Provides the copies of store data that this host hands to other hosts. A copy is empty while
/// this host has no such data, or none that was confirmed recently; the host that asked then has to
/// read the store.
class StoreCopySource
{
public:
    virtual ~StoreCopySource() = default;
    virtual std::optional<StoreCopy> copyOf(StoreData what) = 0;
};

} // namespace Gateway
