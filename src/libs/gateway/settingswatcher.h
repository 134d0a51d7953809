#pragma once

#include "base/result.h"
#include "gateway/gatewaysettings.h"

#include <filesystem>
#include <optional>
#include <string>

namespace Gateway {

/// Looks whether the settings file has changed since the last look.
class SettingsWatcher
{
public:
    /// \a file may be empty: it never changes then.
    explicit SettingsWatcher(std::string file);

    /// The settings, if the file has changed; empty if not. Fails with Settings::SettingsFaults.
    Base::Result<std::optional<GatewaySettings>> readIfChanged();

private:
    std::string m_file;
    std::filesystem::file_time_type m_writtenAt{};
};

} // namespace Gateway
