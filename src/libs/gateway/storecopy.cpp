#include "gateway/storecopy.h"

#include "untrusted/jsonbytes.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Gateway {

namespace {

using Json = nlohmann::json;

/// First element of an encoded copy; a copy with another version is rejected.
constexpr std::uint64_t formatVersion = 1;
constexpr std::size_t elementCount = 3;
/// Older data is used by nobody.
constexpr std::uint64_t maxAgeMs = INT32_MAX;

} // namespace

const char *copyPath(StoreData what)
{
    return what == StoreData::Configuration ? "/configuration" : "/servers";
}

std::string encodeCopy(const StoreCopy &copy)
{
    const auto age = static_cast<std::uint64_t>(std::max<std::int64_t>(0, copy.proofAge.count()));
    const Json json = {formatVersion, age, Json::binary({copy.text.begin(), copy.text.end()})};
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Base::Result<StoreCopy> decodeCopy(std::string_view bytes)
{
    const Json json = Untrusted::readCbor(bytes);
    const bool isCopy = json.is_array() && json.size() == elementCount && json[0] == formatVersion
                        && json[1].is_number_unsigned() && json[2].is_binary();
    if (!isCopy)
        return boost::leaf::new_error(MalformedCopy());
    StoreCopy copy;
    copy.proofAge = Base::Milliseconds(
        static_cast<std::int64_t>(std::min(json[1].get<std::uint64_t>(), maxAgeMs)));
    const Json::binary_t &text = json[2].get_binary();
    copy.text.assign(text.begin(), text.end());
    return copy;
}

} // namespace Gateway
