#pragma once

#include "base/result.h"
#include "daemon/daemonsettings.h"
#include "settings/processsettings.h"

#include <string>

namespace App {

/// Error: the file cannot be read, or is empty.
struct UnreadableFile
{
    std::string file;
};

/// Returns the text of \a file. Fails with UnreadableFile.
Base::Result<std::string> readFile(const std::string &file);

/// Converts the settings of a process to those of a daemon.
Daemon::DaemonSettings daemonSettings(const Settings::ProcessSettings &settings);

} // namespace App
