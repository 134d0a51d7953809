#pragma once

#include <cstddef>
#include <string_view>

namespace Base {

/// The longest name that other programs may state, in bytes: the longest key of the store.
inline constexpr std::size_t maxNameBytes = 200;

bool isUtf8(std::string_view text);
/// Returns whether \a text can stand as a name in a header, a key or a line of the log: UTF-8
/// without control characters, of at most maxNameBytes. It may be empty.
bool isPlainName(std::string_view text);

} // namespace Base
