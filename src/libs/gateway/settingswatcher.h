#pragma once

#include "base/result.h"
#include "gateway/gatewaysettings.h"

#include <filesystem>
#include <optional>
#include <string>

namespace Gateway {

/// Detects changes of the settings file by its modification time.
class SettingsWatcher
{
public:
    /// \a file may be empty; no change is ever reported then.
    explicit SettingsWatcher(std::string file);

    /// Returns the settings if the file has changed since the last call or the construction, else
    /// an empty value. Fails with Settings::SettingsFaults.
    Base::Result<std::optional<GatewaySettings>> readIfChanged();

private:
    std::string m_file;
    std::filesystem::file_time_type m_writtenAt{};
};

} // namespace Gateway
