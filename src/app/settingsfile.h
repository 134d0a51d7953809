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

/// Reads and checks a settings file. Fails with UnreadableFile or Settings::SettingsFaults.
Base::Result<Settings::ProcessSettings> readSettingsFile(const std::string &file);

Daemon::DaemonSettings daemonSettings(const Settings::ProcessSettings &settings);

} // namespace App
