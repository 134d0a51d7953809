#pragma once

#include "base/result.h"
#include "daemon/daemonsettings.h"
#include "settings/processsettings.h"

#include <string>

namespace App {

/// The file cannot be read.
struct UnreadableFile
{
    std::string file;
};

/// The text of a settings file. Fails with UnreadableFile.
Base::Result<std::string> readFile(const std::string &file);

Daemon::DaemonSettings daemonSettings(const Settings::ProcessSettings &settings);

} // namespace App
