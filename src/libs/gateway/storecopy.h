#pragma once

#include "base/result.h"
#include "base/time.h"
#include "gateway/hostreport.h"

#include <optional>
#include <string>
#include <string_view>

namespace Gateway {

/// What one host knows of the store and hands to another one.
enum class StoreData : std::uint8_t { Configuration, Servers };

/// Path of \a what at a host's peer address, over HTTP.
const char *pathOf(StoreData what);

/// The configuration that a host has in force.
struct ConfigurationCopy
{
    /// How long ago, at the moment of answering, the question was asked whose answer proved the
    /// configuration current.
    Base::Milliseconds proofAge{0};
    /// The store's own answer, as it came.
    std::string text;
};

/// The bytes are no copy.
struct MalformedCopy
{};

/// CBOR.
std::string encodeCopy(const ConfigurationCopy &copy);
/// Takes any bytes; fails with MalformedCopy.
Base::Result<ConfigurationCopy> decodeCopy(std::string_view bytes);

/// Where a host's knowledge of the store is taken from. Empty while nothing is known, or while
/// there has been no proof of it of late: whoever asked is to ask the store.
class StoreCopySource
{
public:
    virtual ~StoreCopySource() = default;
    virtual std::optional<ConfigurationCopy> configurationCopy() const = 0;
    /// A report whose changes of servers are all that are usable, each as found.
    virtual std::optional<HostReport> serversCopy() const = 0;
};

} // namespace Gateway
