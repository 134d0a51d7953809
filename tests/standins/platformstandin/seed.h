#pragma once

#include "base/result.h"
#include "platformstandin/hostboard.h"
#include "platformstandin/table.h"

#include <string>

namespace StandIn {

/// The seed file is not what examples/ show; \a text says how.
struct WrongSeed
{
    std::string text;
};

/// Fills \a table with the first configuration and \a hosts with the first list, from the JSON
/// \a file: {"classes":[{"class","startWithinMs","claim"}],
/// "customers":[{"customer","key"}],"hosts":[...]}. Of a key only its SHA-256 is kept.
Base::Result<void> readSeed(const std::string &file, Table &table, HostBoard &hosts);

} // namespace StandIn
