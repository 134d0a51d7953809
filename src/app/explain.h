#pragma once

#include "base/result.h"

#include <string>
#include <vector>

namespace App {

/// The lines that gateways' log \a files have of \a request, in order of time, each with the host
/// that wrote it and the inputs of its decision. Lines that are no JSON are left out. Fails with
/// UnreadableFile.
Base::Result<std::vector<std::string>> explainRequest(const std::string &request,
                                                      const std::vector<std::string> &files);

} // namespace App
