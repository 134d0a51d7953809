#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "settings/configuration.h"
#include "settings/settingsfault.h"

#include <string_view>

namespace Settings {

/// Reads the body of an operator's PUT /v1/targets/<class>: {"startWithinMs":N,"claim":0.5},
/// of which the claim may be missing. Fails with SettingsFaults, which has every fault; any
/// bytes are safe.
Base::Result<ClassTarget> parseTargetBody(const Base::ClassId &name, std::string_view body);

} // namespace Settings
