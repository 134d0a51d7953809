#include "gateway/storecopy.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <string>

using namespace Gateway;

namespace {

/// Empty if \a bytes are no copy.
std::optional<ConfigurationCopy> decoded(const std::string &bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> Base::Result<std::optional<ConfigurationCopy>> {
            BOOST_LEAF_AUTO(copy, decodeCopy(bytes));
            return std::optional(std::move(copy));
        },
        [](const MalformedCopy &) { return std::optional<ConfigurationCopy>(); },
        [] {
            FAIL("another failure");
            return std::optional<ConfigurationCopy>();
        });
}

} // namespace

TEST_CASE("a copy of the configuration is read as it was written", "[gateway]")
{
    rc::prop("any age and text", [] {
        ConfigurationCopy copy;
        copy.proofAge = Base::Milliseconds(*rc::gen::inRange(0, 100000));
        copy.text = *rc::gen::arbitrary<std::string>();
        const auto read = decoded(encodeCopy(copy));
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->proofAge == copy.proofAge);
        RC_ASSERT(read->text == copy.text);
    });
}

TEST_CASE("any bytes from a neighbour are a copy or a typed failure", "[gateway]")
{
    rc::prop("any bytes", [](const std::string &bytes) { decoded(bytes); });
    rc::prop("a copy that was cut or changed", [] {
        std::string bytes = encodeCopy({Base::Milliseconds(30), "some text"});
        bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
        if (!bytes.empty())
            bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
        decoded(bytes);
    });
    // A text of a length that no memory holds.
    CHECK_FALSE(decoded(std::string("\x83\x01\x00\x5b\x7f\xff\xff\xff\xff\xff\xff\xff", 12)));
}
