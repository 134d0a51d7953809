#include "gateway/settingswatcher.h"

#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace Gateway {

SettingsWatcher::SettingsWatcher(std::string file)
    : m_file(std::move(file))
{
    std::error_code ec;
    if (!m_file.empty())
        m_writtenAt = std::filesystem::last_write_time(m_file, ec);
}

Base::Result<std::optional<GatewaySettings>> SettingsWatcher::readIfChanged()
{
    if (m_file.empty())
        return std::nullopt;
    std::error_code ec;
    const auto writtenAt = std::filesystem::last_write_time(m_file, ec);
    // A file that is being replaced may be missing for a moment; the next look finds it.
    if (ec || writtenAt == m_writtenAt)
        return std::nullopt;
    m_writtenAt = writtenAt;
    std::ifstream in(m_file);
    const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
    BOOST_LEAF_AUTO(settings, GatewaySettings::parse(text));
    return std::optional<GatewaySettings>(std::move(settings));
}

} // namespace Gateway
