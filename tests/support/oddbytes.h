#pragma once

#include <cstddef>
#include <string>
#include <vector>

/// More levels than any sound value has, yet few enough for a parser without recursion.
inline constexpr std::size_t manyLevels = 1000;
/// So many levels that recursion over them ends a thread.
inline constexpr std::size_t endlessLevels = 200'000;

/// Returns arrays within arrays as JSON.
inline std::string deepText(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

/// Returns arrays within arrays as CBOR.
inline std::string deepCbor(std::size_t levels)
{
    return std::string(levels, '\x81') + '\x01';
}

/// Returns the JSON object \a text with one more member.
inline std::string withMember(std::string text, const std::string &value)
{
    return text.insert(text.find('{') + 1, "\"more\":" + value + ",");
}

/// Returns values that no reader may take, made from the sound JSON object \a text.
inline std::vector<std::string> oddTexts(const std::string &text)
{
    return {withMember(text, deepText(manyLevels)), withMember(text, deepText(endlessLevels)),
            withMember(text, "1e999"), withMember(text, std::string(400, '9')),
            deepText(endlessLevels), std::string(endlessLevels, '['),
            // Unfinished objects within objects.
            [] {
                std::string objects;
                for (std::size_t i = 0; i < endlessLevels; ++i)
                    objects += "{\"a\":";
                return objects;
            }()};
}
