#pragma once

#include "settings/settingsfault.h"

#include <boost/leaf/handle_errors.hpp>

#include <vector>

namespace Support {

/// Calls \a parse, which returns a Base::Result, and returns the faults that it reports; empty if
/// it succeeds. An error of another type is returned as one fault that names no key.
template <typename Parse>
std::vector<Settings::SettingsFault> faultsOf(Parse parse)
{
    std::vector<Settings::SettingsFault> faults;
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            auto parsed = parse();
            if (!parsed)
                return parsed.error();
            return {};
        },
        [&](const Settings::SettingsFaults &found) { faults = found.faults; },
        [&] {
            faults.push_back({"", "a typed fault", "another error"});
        });
    return faults;
}

} // namespace Support
