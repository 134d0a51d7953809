#pragma once

#include "base/result.h"
#include "platformstandin/hostboard.h"
#include "platformstandin/table.h"

#include <string>

namespace StandIn {

/// Error: the seed file is malformed. \a text describes the fault; examples/ has valid files.
struct WrongSeed
{
    std::string text;
};

/// Fills \a table with the initial configuration and \a hosts with the initial list, from the JSON
/// \a file: {"classes":[{"class","startWithinMs","claim"}],
/// "customers":[{"customer","key"}],"hosts":[...]}. Only the SHA-256 digest of a key is stored.
/// Fails with WrongSeed.
Base::Result<void> readSeed(const std::string &file, Table &table, HostBoard &hosts);

} // namespace StandIn
