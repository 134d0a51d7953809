#include "daemon/callersessions.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace {

using namespace Daemon;

constexpr std::size_t bufferLimit = 1000;

Node::AnswerPart part(std::size_t size)
{
    return {std::string(size, 'x')};
}

template <typename Event>
bool isNext(EventRing &ring)
{
    const std::optional<Node::Event> event = ring.popFor(Base::Duration::zero());
    return event && std::holds_alternative<Event>(*event);
}

} // namespace

TEST_CASE("A slow caller pauses its own stream and no other")
{
    EventRing ring(16);
    CallerSessions sessions(bufferLimit, ring);
    const auto slow = sessions.open();
    const auto quick = sessions.open();
    sessions.appendAnswer(slow->id(), part(bufferLimit));
    CHECK(sessions.takeEvents().empty());
    sessions.appendAnswer(slow->id(), part(1));
    sessions.appendAnswer(slow->id(), part(1));
    sessions.appendAnswer(quick->id(), part(1));
    const std::vector<Node::Event> events = sessions.takeEvents();
    REQUIRE(events.size() == 1);
    CHECK(std::get<Node::CallerBlocked>(events.front()).caller == slow->id());
    CHECK(ring.size() == 0);
    slow->take();
    CHECK(isNext<Node::CallerUnblocked>(ring));
}

TEST_CASE("Blocked and ready alternate, and a full buffer is reported in time")
{
    rc::prop("any order of puts and takes", [] {
        EventRing ring(256);
        CallerSession session(1, bufferLimit, ring);
        bool isBlocked = false;
        std::size_t items = 0;
        const int steps = *rc::gen::inRange(0, 100);
        for (int i = 0; i < steps; ++i) {
            if (items > 0 && *rc::gen::arbitrary<bool>()) {
                session.take();
                --items;
                if (ring.size() > 0) {
                    RC_ASSERT(isBlocked && isNext<Node::CallerUnblocked>(ring));
                    isBlocked = false;
                }
            } else {
                ++items;
                if (session.put(part(*rc::gen::inRange<std::size_t>(0, 400)))) {
                    RC_ASSERT(!isBlocked);
                    isBlocked = true;
                }
            }
            RC_ASSERT(isBlocked || session.bufferedBytes() <= bufferLimit);
            RC_ASSERT(!isBlocked || session.bufferedBytes() > bufferLimit / 2);
        }
    });
}

TEST_CASE("CallerGone is pushed once, and not after a complete answer")
{
    EventRing ring(16);
    CallerSessions sessions(bufferLimit, ring);
    const auto cut = sessions.open();
    sessions.hangUp(cut->id());
    CHECK_FALSE(cut->take());
    sessions.close(*cut);
    CHECK(isNext<Node::CallerDisconnected>(ring));
    CHECK(ring.size() == 0);

    const auto whole = sessions.open();
    sessions.finishAnswer(whole->id());
    whole->take();
    sessions.close(*whole);
    CHECK(ring.size() == 0);

    const auto left = sessions.open();
    sessions.appendAnswer(left->id(), part(1));
    left->take();
    sessions.close(*left);
    CHECK(isNext<Node::CallerDisconnected>(ring));
    CHECK(sessions.size() == 0);
}
