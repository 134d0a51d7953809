#pragma once

#include "base/result.h"
#include "settings/configuration.h"

#include <string>

namespace Settings {

/// Error: the text of a table row or stored object is not a configuration change.
struct MalformedChange
{
    ConfigurationVersion version = 0;
};

/// Returns the JSON text as which a change is stored in the table. It has no version, since that
/// is the key of the row. A writer can recognize its own row by a \a token.
std::string encodeChange(const ConfigurationChange &change, const std::string &token = {});
/// Returns the token in a change's text, or an empty string. \a text may contain any bytes.
std::string tokenOf(const std::string &text);
/// Decodes the text of a change. Fails with MalformedChange; \a text may contain any bytes.
Base::Result<ConfigurationChange> decodeChange(ConfigurationVersion version,
                                               const std::string &text);

/// Returns the JSON text as which a whole configuration is stored in the object store.
std::string encodeConfiguration(const Configuration &configuration);
/// Decodes the text of a whole configuration. Fails with MalformedChange; \a text may contain any
/// bytes.
Base::Result<Configuration> decodeConfiguration(const std::string &text);

/// Key of the row that holds the number of the newest version.
inline const std::string headKey = "config/head";
/// Prefix of the keys of all changes.
inline const std::string changePrefix = "config/change/";
/// Returns the key of the row of a change. Keys sort in the order of versions.
std::string changeKey(ConfigurationVersion version);
/// Returns the version in the key of a change, or 0 if \a key is not such a key.
ConfigurationVersion versionOfKey(const std::string &key);

} // namespace Settings
