#include "support/routerpair.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using RouterPair::chatRequest;
using RouterPair::Pair;

TEST_CASE("parts of an older attempt are not used as parts of the new one", "[node]")
{
    // Guards against an answer that mixes parts of two backend servers. This happens if the late
    // answer to an abandoned attempt is matched by its request alone and not also by the number of
    // the attempt.
    Pair pair;
    Pair::Router &router = pair.router(0);
    router.node->handle(chatRequest(7), pair.now());
    pair.settle();
    REQUIRE(router.backends.sent.size() == 1);
    const Node::AttemptId first = router.backends.sent.front().attempt;
    router.node->handle(Node::BackendFailed{first, Node::SendState::NeverSent, 0, std::nullopt},
                        pair.now());
    pair.settle();
    pair.run(2s);
    REQUIRE(router.backends.sent.size() == 2);
    const Node::AttemptId second = router.backends.sent.back().attempt;
    REQUIRE(second.request == first.request);

    router.node->handle(Node::BackendHead{first, 200, "text/plain", ""}, pair.now());
    router.node->handle(Node::BackendPart{first, 0, "late", 4}, pair.now());
    router.node->handle(Node::BackendFinished{first, 1}, pair.now());
    CHECK(router.callers.logs[7].parts.empty());
    CHECK_FALSE(router.callers.logs[7].isFinished);
    router.node->handle(Node::BackendHead{second, 200, "text/event-stream", "st"}, pair.now());
    router.node->handle(Node::BackendPart{second, 0, "own", 4}, pair.now());
    router.node->handle(Node::BackendFinished{second, 1}, pair.now());
    CHECK(router.callers.logs[7].parts == std::vector<std::string>{"own"});
    CHECK(router.callers.logs[7].isFinished);
}

TEST_CASE("a router that resumes after its claim has lapsed sends nothing", "[node]")
{
    // Guards against a call that runs twice. The router that claimed it is suspended before it
    // sends it, its claim lapses, and another router runs the call. Then the first router resumes
    // and gets its permit. It sends the call as well if it checks the claim only when it is taken
    // and not again when the work is sent.
    for (const std::size_t entry : {0, 1}) {
        Pair pair;
        Pair::Router &router = pair.router(entry);
        pair.holdMessages(true);
        Node::CallerRequest request = chatRequest(7);
        request.isRepeatable = false;
        request.idempotencyKey = "deposit";
        router.node->handle(request, pair.now());
        pair.settle();
        // The router that is itself the home of the pool sends the work before it is suspended.
        if (!router.backends.sent.empty())
            continue;
        pair.suspend(120s);
        pair.holdMessages(false);
        pair.settle();
        CHECK(router.backends.sent.empty());
        REQUIRE(router.callers.logs[7].failure);
        CHECK(router.callers.logs[7].failure->type == Node::FailureType::ClaimUnavailable);
        CHECK(router.callers.logs[7].failure->ran == Node::Ran::No);
    }
}

// Guards against memory that an answer without end takes which is kept for a repeated call.
TEST_CASE("an answer without end is not kept for a repeated call", "[node]")
{
    constexpr std::size_t mebibyte = 1U << 20;
    Pair pair;
    Pair::Router &router = pair.router(0);
    Node::CallerRequest request = chatRequest(7);
    request.isRepeatable = false;
    request.idempotencyKey = "deposit";
    router.node->handle(request, pair.now());
    pair.settle();
    pair.run(1s);
    REQUIRE(router.backends.sent.size() == 1);
    const Node::AttemptId attempt = router.backends.sent.front().attempt;
    router.node->handle(Node::BackendHead{attempt, 200, "text/plain", ""}, pair.now());
    std::uint64_t parts = 0;
    while (parts < 64 && router.backends.cancelled.empty())
        router.node->handle(Node::BackendPart{attempt, parts++, std::string(mebibyte, 'x'), 4},
                            pair.now());
    CHECK(parts > 15);
    CHECK(parts < 20);
    CHECK(router.backends.cancelled == std::vector<Node::AttemptId>{attempt});
    pair.run(2s);
    REQUIRE(router.callers.logs[7].failure);
    CHECK(router.callers.logs[7].failure->type == Node::FailureType::BackendFailed);
    CHECK(router.callers.logs[7].failure->ran == Node::Ran::Unknown);
    CHECK_FALSE(router.callers.logs[7].isFinished);
    CHECK(router.backends.sent.size() == 1);
}
