#include "settings/settingsfault.h"

namespace Settings {

std::string toString(const SettingsFault &fault)
{
    std::string text = fault.pointer.empty() ? "(whole text)" : fault.pointer;
    text += ": expected ";
    text += fault.expected;
    text += ", found ";
    text += fault.found;
    return text;
}

} // namespace Settings
