#include "untrusted/jsonbytes.h"

#include "support/oddbytes.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Untrusted;

namespace {

/// Returns any value of at most \a levels levels.
Json arbitraryJson(int levels)
{
    const int kind = *rc::gen::inRange(0, levels > 0 ? 8 : 6);
    if (kind == 0)
        return *rc::gen::arbitrary<std::int64_t>();
    if (kind == 1)
        return *rc::gen::arbitrary<std::uint64_t>();
    if (kind == 2)
        return *rc::gen::map(rc::gen::arbitrary<std::string>(), [](std::string text) {
            for (char &c : text)
                c = static_cast<char>(c & 127);
            return text;
        });
    if (kind == 3)
        return *rc::gen::inRange(-1000, 1000) / 8.0;
    if (kind == 4)
        return *rc::gen::arbitrary<bool>();
    if (kind == 5)
        return Json();
    Json json = kind == 6 ? Json::array() : Json::object();
    for (int i = *rc::gen::inRange(0, 5); i > 0; --i) {
        if (kind == 6)
            json.push_back(arbitraryJson(levels - 1));
        else
            json[std::string(static_cast<std::size_t>(i), '"')] = arbitraryJson(levels - 1);
    }
    return json;
}

std::string cborOf(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

/// Returns the failure of reading \a text: "limits", "syntax", "number", or "" if it is read.
std::string failureOf(const std::string &text, const JsonLimits &limits = {})
{
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<std::string> {
            BOOST_LEAF_CHECK(readCommentedJson(text, nullptr, limits));
            return std::string();
        },
        [](const OutsideLimits &) { return std::string("limits"); },
        [](const JsonSyntaxError &ec) { return "syntax " + std::to_string(ec.byte); },
        [](const NumberOutOfRange &) { return std::string("number"); },
        [] { return std::string("another"); });
}

} // namespace

// Guards against sound values that the limits refuse or change.
TEST_CASE("sound values are read unchanged", "[untrusted]")
{
    rc::prop("any value", [] {
        const Json json = arbitraryJson(5);
        RC_ASSERT(readJson(json.dump()) == json);
        RC_ASSERT(readJson(json.dump(2)) == json);
        RC_ASSERT(readCbor(cborOf(json)) == json);
        RC_ASSERT(Json(readOrderedJson(json.dump())) == json);
        RC_ASSERT(failureOf("// {[\"\n" + json.dump() + "/* [ */").empty());
    });
    const Json binary = Json::binary({1, 2, 3});
    CHECK(readCbor(cborOf(binary)) == binary);
    CHECK(readOrderedJson(R"({"b":1,"a":2})").dump() == R"({"b":1,"a":2})");
    // Brackets and commas within strings are no levels.
    CHECK(readJson('"' + std::string(manyLevels, '[') + "\\\"{\"").is_string());
    CHECK(readJson("[]", {1, 2, 2}).is_array());
}

// Guards against bytes that end the process, whatever they are.
TEST_CASE("any bytes are read as the library reads them, or discarded", "[untrusted]")
{
    rc::prop("any bytes", [](const std::string &bytes) {
        RC_ASSERT(readJson(bytes) == Json::parse(bytes, nullptr, false)
                  || readJson(bytes).is_discarded());
        (void)readCbor(bytes);
        (void)failureOf(bytes);
    });
    rc::prop("a sound value that was cut or changed", [] {
        const Json json = arbitraryJson(5);
        for (std::string bytes : {json.dump(), cborOf(json)}) {
            bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
            if (!bytes.empty())
                bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
                    *rc::gen::arbitrary<char>();
            RC_ASSERT(readJson(bytes) == Json::parse(bytes, nullptr, false)
                      || (readJson(bytes).is_discarded()
                          && Json::parse(bytes, nullptr, false).is_discarded()));
            (void)readCbor(bytes);
        }
    });
    rc::prop("heads of items with any length, within each other", [] {
        std::string bytes;
        for (int i = *rc::gen::inRange(1, 300); i > 0; --i) {
            const int head = *rc::gen::inRange(0, 256);
            bytes += static_cast<char>(head);
            for (int n = (head & 31) >= 24 && (head & 31) < 28 ? 1 << ((head & 31) - 24) : 0; n > 0;
                 --n)
                bytes += *rc::gen::element('\x00', '\x01', '\x7f', '\xff');
        }
        (void)readCbor(bytes);
    });
}

// Guards against values deeper than whoever copies or writes them can bear.
TEST_CASE("the deepest value is read, a deeper one discarded", "[untrusted]")
{
    const std::size_t most = JsonLimits().levels;
    for (const std::size_t levels : {most + 1, manyLevels, endlessLevels}) {
        CAPTURE(levels);
        CHECK(readJson(deepText(levels)).is_discarded());
        CHECK(readOrderedJson(deepText(levels)).is_discarded());
        CHECK(readCbor(deepCbor(levels)).is_discarded());
        CHECK(failureOf(deepText(levels)) == "limits");
        for (const char mark : {'\x81', '\x9f', '\xbf', '\x5f', '\x7f', '\xc6', '\xd9'})
            CHECK(readCbor(std::string(levels, mark)).is_discarded());
    }
    CHECK(readJson(deepText(most)).is_array());
    CHECK(readCbor(deepCbor(most)).is_array());
    CHECK(failureOf(deepText(most)).empty());
    // Maps within maps, siblings of any number, and a comment that hides the levels.
    CHECK(readCbor("\xa1\x61"
                   "a"
                   + deepCbor(most))
              .is_discarded());
    CHECK(readJson("[" + deepText(most - 1) + "," + deepText(most - 1) + "]").is_array());
    for (const std::string start : {"/* \" */", "/**//**/", "/***/", "/*/*/"})
        CHECK(failureOf(start + deepText(most + 1)) == "limits");
    for (const char end : {'\n', '\r', '\0'})
        CHECK(failureOf("// \"" + (end + deepText(most + 1))) == "limits");
}

// Guards against values that take more memory than their bytes let expect.
TEST_CASE("larger values than the limits are discarded", "[untrusted]")
{
    for (const char *bytes :
         {"\x9b\x7f\xff\xff\xff\xff\xff\xff\xff", "\x9b\xff\xff\xff\xff\xff\xff\xff\xff",
          "\xbb\x80\x01\x01\x01\x01\x01\x01\x01", "\xbb\xff\xff\xff\xff\xff\xff\xff\xff",
          "\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", "\x7b\xff\xff\xff\xff\xff\xff\xff\xff",
          "\x82\x01", "\x82\x01\x02\x03", "\xa1\x01", "\x19\x01", "\x9f\x01\xff",
          "\x7f\x61\x61\xff"})
        CHECK(readCbor(bytes).is_discarded());
    CHECK(readJson("[1,2,3]", {9, 4, 99}).is_array());
    CHECK(readJson("[1,2,3,4]", {9, 4, 99}).is_discarded());
    CHECK(readJson("[1,2]", {9, 9, 4}).is_discarded());
    CHECK(readCbor("\x83\x01\x02\x03", {9, 4, 99}).is_array());
    CHECK(readCbor("\x84\x01\x02\x03\x04", {9, 4, 99}).is_discarded());
    CHECK(readCbor("\x82\x01\x02", {9, 9, 2}).is_discarded());
}

// Guards against numbers beyond any type.
TEST_CASE("numbers beyond any type are discarded", "[untrusted]")
{
    for (const std::string &number :
         {std::string("1e999"), std::string(400, '9'), "-1e999" + std::string(9, '9')}) {
        CHECK(readJson(number).is_discarded());
        CHECK(failureOf(number) == "number");
    }
    CHECK(readJson("99999999999999999999").is_number_float());
    CHECK(failureOf("{,") == "syntax 2");
}
