#include "tracing/recordingtracer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <sstream>
#include <thread>

using namespace Tracing;
using Json = nlohmann::json;

namespace {

/// The lines that a FakeSink has written, shared with the test.
struct Lines
{
    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::string> texts;
    bool isBlocked = false;
    bool isWriting = false;
};

/// A sink that stores lines; its write() blocks while isBlocked is set.
class FakeSink final : public LineSink
{
public:
    explicit FakeSink(Lines &lines)
        : m_lines(&lines)
    {}

    void write(const std::string &line) override
    {
        std::unique_lock lock(m_lines->mutex);
        m_lines->isWriting = true;
        m_lines->changed.notify_all();
        m_lines->changed.wait(lock, [this] { return !m_lines->isBlocked; });
        m_lines->texts.push_back(line);
    }

private:
    Lines *m_lines;
};

class Headers final : public opentracing::HTTPHeadersReader, public opentracing::HTTPHeadersWriter
{
public:
    opentracing::expected<void>
    ForeachKey(std::function<opentracing::expected<void>(opentracing::string_view,
                                                         opentracing::string_view)>
                   f) const override
    {
        for (const auto &[key, value] : m_values) {
            const auto read = f(key, value);
            if (!read)
                return read;
        }
        return {};
    }
    opentracing::expected<void> Set(opentracing::string_view key,
                                    opentracing::string_view value) const override
    {
        m_values[std::string(key)] = std::string(value);
        return {};
    }

    mutable std::map<std::string, std::string> m_values;
};

Json spanNamed(const Lines &lines, const std::string &name)
{
    for (const std::string &text : lines.texts) {
        if (Json::parse(text)["name"] == name)
            return Json::parse(text);
    }
    return {};
}

} // namespace

TEST_CASE("Spans of one request have the same trace id and the id of their parent")
{
    Lines lines;
    Base::SeededRandom random(1);
    {
        SpanRecorder recorder(std::make_unique<FakeSink>(lines));
        const RecordingTracer tracer(recorder, random);
        Headers headers;
        headers.m_values["TraceParent"] = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
        const auto caller = tracer.Extract(static_cast<opentracing::HTTPHeadersReader &>(headers));
        REQUIRE(caller);
        const auto entry = tracer.StartSpan("entry", {opentracing::ChildOf(caller->get())});
        const auto queue = tracer.StartSpan("queue", {opentracing::ChildOf(&entry->context())});
        queue->SetTag("place", "router-2");
        queue->SetTag("failed", true);
        queue->SetTag("n", 7U);
        queue->Finish();
        queue->Finish();
        Headers sent;
        REQUIRE(
            tracer.Inject(entry->context(), static_cast<opentracing::HTTPHeadersWriter &>(sent)));
        CHECK(sent.m_values["traceparent"].rfind("00-0af7651916cd43dd8448eb211c80319c-", 0) == 0);
    }
    REQUIRE(lines.texts.size() == 2);
    const Json entry = spanNamed(lines, "entry");
    const Json queue = spanNamed(lines, "queue");
    CHECK(entry["trace"] == "0af7651916cd43dd8448eb211c80319c");
    CHECK(entry["parent"] == "b7ad6b7169203331");
    CHECK(queue["trace"] == entry["trace"]);
    CHECK(queue["parent"] == entry["span"]);
    CHECK(queue["tags"] == Json{{"failed", true}, {"n", 7}, {"place", "router-2"}});
}

TEST_CASE("A malformed header starts a new trace")
{
    Lines lines;
    Base::SeededRandom random(1);
    SpanRecorder recorder(std::make_unique<FakeSink>(lines));
    const RecordingTracer tracer(recorder, random);
    Headers headers;
    headers.m_values["traceparent"] = "00-zz";
    const auto context = tracer.Extract(static_cast<opentracing::HTTPHeadersReader &>(headers));
    REQUIRE(context);
    CHECK(*context == nullptr);
    std::istringstream in("no header");
    CHECK(*tracer.Extract(in) == nullptr);
    CHECK_FALSE(tracer.StartSpan("entry")->context().ToTraceID().empty());
}

TEST_CASE("A blocked trace file drops spans and does not delay requests")
{
    // Guards against a router that hangs because the trace goes to a pipe whose reader has stopped,
    // which happens if the thread of a request writes the span itself.
    Lines lines;
    lines.isBlocked = true;
    {
        SpanRecorder recorder(std::make_unique<FakeSink>(lines), 4);
        recorder.record({});
        std::unique_lock lock(lines.mutex);
        lines.changed.wait(lock, [&] { return lines.isWriting; });
        lock.unlock();
        for (int n = 0; n < 10; ++n)
            recorder.record({});
        CHECK(recorder.recorded() == 5);
        CHECK(recorder.dropped() == 6);
        lock.lock();
        lines.isBlocked = false;
        lines.changed.notify_all();
    }
    CHECK(lines.texts.size() == 5);
}

TEST_CASE("Spans from several threads are written as complete lines")
{
    Lines lines;
    Base::SeededRandom random(1);
    {
        SpanRecorder recorder(std::make_unique<FakeSink>(lines));
        const RecordingTracer tracer(recorder, random);
        std::vector<std::thread> threads;
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&tracer] {
                for (int n = 0; n < 200; ++n)
                    tracer.StartSpan("a\n\xff")->Finish();
            });
        }
        for (std::thread &thread : threads)
            thread.join();
    }
    REQUIRE(lines.texts.size() == 800);
    std::map<std::string, int> ids;
    for (const std::string &text : lines.texts) {
        CHECK(text.find('\n') == std::string::npos);
        ++ids[Json::parse(text)["span"].get<std::string>()];
    }
    CHECK(ids.size() == 800);
}

TEST_CASE("A trace file that cannot be opened is an error")
{
    CHECK_FALSE(FileLineSink::open("/no/such/folder/trace"));
}
