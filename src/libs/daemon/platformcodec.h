#pragma once

#include "base/result.h"
#include "platform/hostlist.h"
#include "platform/tableservice.h"

#include <string>
#include <vector>

namespace Daemon {

/// An answer of the platform that cannot be read.
struct MalformedPlatformAnswer
{};

std::string encodeWrites(const std::vector<Platform::TableWrite> &writes);
/// Fails with MalformedPlatformAnswer; any bytes are safe.
Base::Result<std::vector<Platform::TableRow>> decodeRows(const std::string &text);
/// Fails with MalformedPlatformAnswer; any bytes are safe. Hosts of unknown roles are left out.
Base::Result<Platform::HostListing> decodeListing(const std::string &text);

} // namespace Daemon
