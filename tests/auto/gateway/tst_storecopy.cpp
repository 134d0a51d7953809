#include "gateway/storecopy.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

using namespace Gateway;

namespace {

/// Decodes \a bytes; returns an empty value if they are no copy.
std::optional<StoreCopy> decoded(const std::string &bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<std::optional<StoreCopy>> {
            BOOST_LEAF_AUTO(copy, decodeCopy(bytes));
            return std::optional(std::move(copy));
        },
        [](const MalformedCopy &) { return std::optional<StoreCopy>(); },
        [] {
            FAIL("another failure");
            return std::optional<StoreCopy>();
        });
}

} // namespace

TEST_CASE("an encoded copy is decoded unchanged", "[gateway]")
{
    rc::prop("any age and text", [] {
        StoreCopy copy;
        copy.proofAge = Base::Milliseconds(*rc::gen::inRange(0, 100000));
        copy.text = *rc::gen::arbitrary<std::string>();
        const auto read = decoded(encodeCopy(copy));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->proofAge == copy.proofAge);
        RC_ASSERT(read->text == copy.text);
    });
}

TEST_CASE("decoding arbitrary bytes gives a copy or MalformedCopy", "[gateway]")
{
    rc::prop("any bytes", [](const std::string &bytes) { decoded(bytes); });
    rc::prop("a copy that was cut or changed", [] {
        std::string bytes = encodeCopy({Base::Milliseconds(30), "some text"});
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        if (!bytes.empty())
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        decoded(bytes);
    });
    // The length of the text exceeds any memory.
    CHECK_FALSE(decoded(std::string("\x83\x01\x00\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 12)));
}
