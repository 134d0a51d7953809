#pragma once

#include "base/result.h"

#include <string>
#include <vector>

namespace App {

/// Returns the lines of the gateways' log \a files that concern \a request, in order of time. Each
/// line has the host that logged it and the inputs of its decision. Lines that are not JSON are
/// ignored. Fails with UnreadableFile.
Base::Result<std::vector<std::string>> explainRequest(const std::string &request,
                                                      const std::vector<std::string> &files);

} // namespace App
