#pragma once

#include "base/result.h"
#include "settings/configuration.h"

#include <string>

namespace Settings {

/// A table row or file whose text is not a configuration change.
struct MalformedChange
{
    ConfigurationVersion version = 0;
};

/// The JSON text that a change is kept as in the table, without its version (the row's key).
/// \a token, if there is one, lets the writer know its own row again.
std::string encodeChange(const ConfigurationChange &change, const std::string &token = {});
/// The token that a change's text was written with; empty if there is none. Any bytes are safe.
std::string tokenOf(const std::string &text);
/// Fails with MalformedChange; any bytes are safe.
Base::Result<ConfigurationChange> decodeChange(ConfigurationVersion version,
                                               const std::string &text);

/// The text of a whole configuration, as it is kept in the object store.
std::string encodeConfiguration(const Configuration &configuration);
/// Fails with MalformedChange; any bytes are safe.
Base::Result<Configuration> decodeConfiguration(const std::string &text);

/// Key of the row that holds the newest version.
inline const std::string headKey = "config/head";
inline const std::string changePrefix = "config/change/";
/// Key of a change's row; keys sort like versions.
std::string changeKey(ConfigurationVersion version);
/// 0 if \a key is not a change's key.
ConfigurationVersion versionOfKey(const std::string &key);

} // namespace Settings
