#pragma once

#include "base/ids.h"
#include "base/result.h"
#include "settings/configuration.h"
#include "settings/settingsfault.h"

#include <string_view>

namespace Settings {

/// Parses the body of an operator's PUT /v1/targets/<class>: {"startWithinMs":N,"claim":0.5}. The
/// claim is optional. Fails with SettingsFaults, which lists every fault; \a body may contain any
/// bytes.
Base::Result<ClassTarget> parseTargetBody(const Base::ClassId &name, std::string_view body);

} // namespace Settings
