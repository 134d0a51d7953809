#include "support/routerpair.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using RouterPair::chatRequest;
using RouterPair::Pair;

TEST_CASE("a request gets its whole answer through either router, home or not", "[node]")
{
    for (const std::size_t entry : {0, 1}) {
        Pair pair;
        Pair::Router &router = pair.router(entry);
        router.node->handle(chatRequest(7), pair.now());
        pair.settle();
        REQUIRE(router.backends.sent.size() == 1);
        const Node::AttemptId attempt = router.backends.sent.front().attempt;
        router.node->handle(Node::BackendHead{attempt, 200, "text/event-stream", "st"}, pair.now());
        router.node->handle(Node::BackendPart{attempt, 0, "a", 4}, pair.now());
        router.node->handle(Node::BackendPart{attempt, 0, "late", 4}, pair.now());
        router.node->handle(Node::BackendPart{attempt, 1, "b", 4}, pair.now());
        router.node->handle(Node::BackendFinished{attempt, 2}, pair.now());
        pair.settle();
        const Fakes::CallerLog &log = router.callers.logs[7];
        CHECK(log.parts == std::vector<std::string>{"a", "b"});
        CHECK(log.isFinished);
        CHECK_FALSE(log.failure);
        CHECK(router.node->status().openRequests == 0);
    }
}

TEST_CASE("a request with an unknown key or class is refused at once", "[node]")
{
    Pair pair;
    Pair::Router &router = pair.router(0);
    Node::CallerRequest request = chatRequest(1);
    request.keyDigest = "other";
    router.node->handle(request, pair.now());
    REQUIRE(router.callers.logs[1].failure);
    CHECK(router.callers.logs[1].failure->type == Node::FailureType::Unauthorized);
    request = chatRequest(2);
    request.workClass = Base::ClassId("none");
    router.node->handle(request, pair.now());
    REQUIRE(router.callers.logs[2].failure);
    CHECK(router.callers.logs[2].failure->type == Node::FailureType::UnknownClass);
}

// Guards against an idempotency key that stays claimed for a day although its work did not run.
// This happens if the claim is kept because the work was sent, although the backend server refused
// it and reported that it did not run. A repeated call would then be answered that it may have run.
TEST_CASE("a key can be used again if its work certainly did not run", "[node]")
{
    Pair pair;
    Pair::Router &router = pair.router(0);
    Node::CallerRequest request = chatRequest(1);
    request.isRepeatable = false;
    request.idempotencyKey = "deposit";
    router.node->handle(request, pair.now());
    pair.settle();
    while (!router.backends.sent.empty()) {
        const Node::AttemptId attempt = router.backends.sent.front().attempt;
        router.backends.sent.pop_front();
        router.node->handle(Node::BackendFailed{attempt, Node::SendState::Refused, 0, std::nullopt},
                            pair.now());
        pair.settle();
        pair.run(2s);
    }
    REQUIRE(router.callers.logs[1].failure);
    CHECK(router.callers.logs[1].failure->ran == Node::Ran::No);
    request.caller = 2;
    pair.router(1).node->handle(request, pair.now());
    pair.settle();
    pair.run(2s);
    CHECK(pair.router(1).backends.sent.size() == 1);
}
