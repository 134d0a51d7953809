#include "settings/jsonreader.h"

#include "untrusted/jsonbytes.h"

#include <algorithm>
#include <cstdio>
#include <set>
#include <sstream>

namespace Settings::Internal {

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxDescriptionLength = 60;
constexpr char expectedName[] = "1 to 64 letters, digits, '.', '_' or '-'";
constexpr char expectedAddress[] = "\"IP:PORT\" with an IPv4 address and a port from 1 to 65535";
constexpr char nothingFound[] = "nothing";

bool isNameCharacter(char c)
{
    const bool isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool isDigit = c >= '0' && c <= '9';
    return isLetter || isDigit || c == '.' || c == '_' || c == '-';
}

bool isName(const std::string &text)
{
    return !text.empty() && text.size() <= maxNameLength
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

std::string joined(const std::vector<std::string> &texts)
{
    std::string all;
    for (const std::string &text : texts) {
        if (!all.empty())
            all += ", ";
        all += text;
    }
    return all;
}

/// Parser callback that records keys that occur twice in one object. The parser itself silently
/// keeps the last value.
class DuplicateKeyDetector
{
public:
    explicit DuplicateKeyDetector(SettingsFaults &faults)
        : m_faults(&faults)
    {}

    bool operator()(Json::parse_event_t event, const Json &parsed)
    {
        using Event = Json::parse_event_t;
        switch (event) {
        case Event::object_start:
        case Event::array_start:
            beginValue();
            m_levels.push_back({event == Event::array_start, {}, {}, 0});
            break;
        case Event::object_end:
        case Event::array_end:
            m_levels.pop_back();
            break;
        case Event::key:
            addKey(parsed.get_ref<const std::string &>());
            break;
        case Event::value:
            beginValue();
            break;
        }
        return true;
    }

private:
    struct Level
    {
        bool isArray = false;
        std::set<std::string> keys;
        std::string key;
        std::size_t elements = 0;
    };

    void beginValue()
    {
        if (!m_levels.empty())
            ++m_levels.back().elements;
    }

    void addKey(const std::string &key)
    {
        Level &level = m_levels.back();
        level.key = key;
        if (!level.keys.insert(key).second)
            m_faults->faults.push_back({pointer(), "each key once", "a duplicate key"});
    }

    std::string pointer() const
    {
        Json::json_pointer path;
        for (const Level &level : m_levels) {
            if (level.isArray)
                path /= level.elements - 1;
            else
                path /= level.key;
        }
        return path.to_string();
    }

    SettingsFaults *m_faults;
    std::vector<Level> m_levels;
};

} // namespace

std::optional<Json> parseJson(std::string_view text, SettingsFaults &faults)
{
    DuplicateKeyDetector detector(faults);
    const auto addFault = [&](const std::string &found) {
        faults.faults.push_back({"", "JSON, comments allowed", found});
        return std::optional<Json>();
    };
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<std::optional<Json>> {
            BOOST_LEAF_AUTO(json, Untrusted::readCommentedJson(
                                      text, [&](int, Json::parse_event_t event, Json &parsed) {
                                          return detector(event, parsed);
                                      }));
            return std::optional(std::move(json));
        },
        [&](const Untrusted::JsonSyntaxError &ec) {
            return addFault("a syntax error at byte " + std::to_string(ec.byte));
        },
        [&](const Untrusted::NumberOutOfRange &) {
            return addFault("a number that is out of range");
        },
        [&] { return addFault("too many levels, values or bytes"); });
}

std::string describe(const Json &json)
{
    if (json.is_object())
        return "an object";
    if (json.is_array())
        return "an array";
    std::string text = json.dump(-1, ' ', true, Json::error_handler_t::replace);
    if (text.size() > maxDescriptionLength)
        text = text.substr(0, maxDescriptionLength) + "...";
    return text;
}

ObjectReader::ObjectReader(const Json &json, const Json::json_pointer &pointer,
                           SettingsFaults &faults)
    : m_json(&json)
    , m_pointer(pointer)
    , m_faults(&faults)
{
    if (!json.is_object())
        faults.faults.push_back({pointer.to_string(), "an object", describe(json)});
}

const Json *ObjectReader::optional(const std::string &key)
{
    m_readKeys.push_back(key);
    if (!m_json->is_object())
        return nullptr;
    const auto it = m_json->find(key);
    return it == m_json->end() ? nullptr : &*it;
}

const Json *ObjectReader::required(const std::string &key, const std::string &expected)
{
    const Json *member = optional(key);
    if (!member && m_json->is_object())
        addFault(key, expected, nothingFound);
    return member;
}

std::string ObjectReader::name(const std::string &key)
{
    const Json *member = required(key, expectedName);
    if (!member)
        return {};
    if (member->is_string() && isName(member->get_ref<const std::string &>()))
        return member->get<std::string>();
    addFault(key, expectedName, describe(*member));
    return {};
}

Address ObjectReader::address(const std::string &key)
{
    const Json *member = required(key, expectedAddress);
    if (!member)
        return {};
    std::optional<Address> parsed;
    if (member->is_string())
        parsed = parseAddress(member->get_ref<const std::string &>());
    if (!parsed)
        addFault(key, expectedAddress, describe(*member));
    return parsed.value_or(Address());
}

std::int64_t ObjectReader::integer(const std::string &key, std::int64_t min, std::int64_t max,
                                   std::int64_t defaultValue)
{
    const Json *member = optional(key);
    if (!member)
        return defaultValue;
    if (member->is_number_integer()) {
        // A number above the range of std::int64_t becomes negative here and is rejected as well.
        const auto value = member->get<std::int64_t>();
        if (value >= min && value <= max)
            return value;
    }
    addFault(key, "a whole number from " + std::to_string(min) + " to " + std::to_string(max),
             describe(*member));
    return defaultValue;
}

double ObjectReader::number(const std::string &key, double min, double max, double defaultValue)
{
    const Json *member = optional(key);
    if (!member)
        return defaultValue;
    if (member->is_number()) {
        const auto value = member->get<double>();
        if (value >= min && value <= max)
            return value;
    }
    std::ostringstream expected;
    expected << "a number from " << min << " to " << max;
    addFault(key, expected.str(), describe(*member));
    return defaultValue;
}

std::size_t ObjectReader::choice(const std::string &key, const std::vector<std::string> &choices,
                                 std::size_t defaultChoice)
{
    const Json *member = optional(key);
    if (!member)
        return defaultChoice;
    for (std::size_t i = 0; i < choices.size(); ++i) {
        if (member->is_string() && member->get_ref<const std::string &>() == choices[i])
            return i;
    }
    addFault(key, "one of " + joined(choices), describe(*member));
    return defaultChoice;
}

void ObjectReader::addFault(const std::string &key, const std::string &expected,
                            const std::string &found)
{
    m_faults->faults.push_back({pointerTo(key).to_string(), expected, found});
}

void ObjectReader::finish()
{
    if (!m_json->is_object())
        return;
    for (const auto &[key, value] : m_json->items()) {
        if (std::find(m_readKeys.begin(), m_readKeys.end(), key) != m_readKeys.end())
            continue;
        addFault(key, "only the keys " + joined(m_readKeys), "an unknown key");
    }
}

} // namespace Settings::Internal
