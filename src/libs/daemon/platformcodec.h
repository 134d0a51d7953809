#pragma once

#include "base/result.h"
#include "storage/hostlist.h"
#include "storage/tableservice.h"

#include <string>
#include <vector>

namespace Daemon {

/// An answer of the platform that cannot be read.
struct MalformedPlatformAnswer
{};

std::string encodeWrites(const std::vector<Storage::TableWrite> &writes);
/// Fails with MalformedPlatformAnswer; any bytes are safe.
Base::Result<std::vector<Storage::TableRow>> decodeRows(const std::string &text);
/// Fails with MalformedPlatformAnswer; any bytes are safe. Hosts of unknown roles are left out.
Base::Result<Storage::HostListing> decodeListing(const std::string &text);

} // namespace Daemon
