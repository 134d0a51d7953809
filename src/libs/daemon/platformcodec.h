#pragma once

#include "base/result.h"
#include "storage/hostlist.h"
#include "storage/tableservice.h"

#include <string>
#include <vector>

namespace Daemon {

/// The answer of the platform cannot be parsed.
struct MalformedPlatformAnswer
{};

/// Returns the JSON body of a table transaction.
std::string encodeWrites(const std::vector<Storage::TableWrite> &writes);
/// Decodes the rows of a table answer. Fails with MalformedPlatformAnswer; safe for any input.
Base::Result<std::vector<Storage::TableRow>> decodeRows(const std::string &text);
/// Decodes the host list; hosts of unknown roles are left out. Fails with MalformedPlatformAnswer;
/// safe for any input.
Base::Result<Storage::HostListing> decodeListing(const std::string &text);

} // namespace Daemon
