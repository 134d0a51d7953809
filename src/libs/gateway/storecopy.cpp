#include "gateway/storecopy.h"

#include <nlohmann/json.hpp>

namespace Gateway {

namespace {

using Json = nlohmann::json;

/// First element of a copy; another number is another form, which is not read.
constexpr std::uint64_t form = 1;
constexpr std::size_t elements = 3;

} // namespace

const char *pathOf(StoreData what)
{
    return what == StoreData::Configuration ? "/configuration" : "/servers";
}

std::string encodeCopy(const ConfigurationCopy &copy)
{
    const auto age = static_cast<std::uint64_t>(std::max<std::int64_t>(0, copy.proofAge.count()));
    const Json json = {form, age, Json::binary({copy.text.begin(), copy.text.end()})};
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Base::Result<ConfigurationCopy> decodeCopy(std::string_view bytes)
{
    Json json;
    try {
        json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    } catch (const Json::exception &) {
        // A length that no memory holds is thrown although exceptions are not asked for.
        return boost::leaf::new_error(MalformedCopy());
    }
    const bool isCopy = json.is_array() && json.size() == elements && json[0] == form
                        && json[1].is_number_unsigned() && json[2].is_binary();
    if (!isCopy)
        return boost::leaf::new_error(MalformedCopy());
    ConfigurationCopy copy;
    copy.proofAge =
        Base::Milliseconds(static_cast<std::int64_t>(json[1].get<std::uint64_t>() & INT32_MAX));
    const Json::binary_t &text = json[2].get_binary();
    copy.text.assign(text.begin(), text.end());
    return copy;
}

} // namespace Gateway
