#include "modelserverstandin/modelservice.h"

#include "base/hash.h"

#include <nlohmann/json.hpp>

#include <charconv>
#include <cstdio>
#include <optional>
#include <sstream>
#include <thread>

namespace StandIn {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t defaultTokens = 16;
constexpr std::chrono::milliseconds hangupCheckInterval(20);
constexpr char streamsPath[] = "/v1/streams/";
constexpr char doneEvent[] = "data: [DONE]\n\n";

/// The contents of all messages of a chat, in order.
std::string promptOf(const Json &body)
{
    std::string prompt;
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array())
        return prompt;
    for (const Json &message : *messages) {
        if (message.is_object())
            prompt += textOf(message, "content") + "\n";
    }
    return prompt;
}

std::uint64_t wordCount(const std::string &text)
{
    std::istringstream in(text);
    std::string word;
    std::uint64_t count = 0;
    while (in >> word)
        ++count;
    return count;
}

std::string hex(std::uint64_t number)
{
    char buf[17];
    std::snprintf(buf, sizeof buf, "%016llx", static_cast<unsigned long long>(number));
    return buf;
}

/// The generated answer to one prompt.
struct Answer
{
    std::string model;
    std::string hash;
    std::uint64_t promptTokens = 0;
    std::uint64_t tokens = 0;

    std::string eventText(std::uint64_t index) const
    {
        const bool isLast = index == tokens;
        const std::string content = isLast ? "" : "w" + std::to_string(index) + "-" + hash + " ";
        Json delta = Json::object();
        if (!isLast)
            delta["content"] = content;
        Json chunk{{"id", "chatcmpl-" + hash},
                   {"object", "chat.completion.chunk"},
                   {"model", model},
                   {"choices",
                    {{{"index", 0},
                      {"delta", delta},
                      {"finish_reason", isLast ? Json("stop") : Json(nullptr)}}}}};
        if (isLast) {
            chunk["lagoonmast_tokens"] = 0;
            chunk["usage"] = {{"prompt_tokens", promptTokens},
                              {"completion_tokens", tokens},
                              {"total_tokens", promptTokens + tokens}};
        }
        return "id: " + std::to_string(index) + "\ndata: " + chunk.dump() + "\n\n";
    }
};

/// Sends the events of an engine's stream to one connection, from \a index on.
class EventBody final : public BodyStream
{
public:
    EventBody(Engine &engine, std::string name, std::uint64_t index, int connection)
        : m_engine(&engine)
        , m_name(std::move(name))
        , m_index(index)
        , m_end(engine.eventCount(m_name))
        , m_connection(connection)
    {}

    void cutAfter(std::uint64_t events) { m_cutAt = m_index + events; }

    std::optional<std::string> next() override
    {
        if (m_isDone)
            return std::string();
        if (m_cutAt && m_index >= *m_cutAt)
            return std::nullopt;
        if (m_index == m_end) {
            m_isDone = true;
            return doneEvent;
        }
        while (isConnectionOpen(m_connection)) {
            std::optional<std::string> text = m_engine->event(m_name, m_index, hangupCheckInterval);
            if (!text)
                return std::nullopt;
            if (text->empty())
                continue;
            ++m_index;
            return text;
        }
        return std::nullopt;
    }

private:
    Engine *m_engine;
    std::string m_name;
    std::uint64_t m_index;
    std::uint64_t m_end;
    int m_connection;
    std::optional<std::uint64_t> m_cutAt;
    bool m_isDone = false;
};

EnginePolicy enginePolicy(const Options &options)
{
    EnginePolicy policy;
    policy.slots = static_cast<std::size_t>(options.number("slots"));
    policy.msPerToken = options.decimal("ms-per-token");
    policy.msPerPromptToken = options.decimal("ms-per-prompt-token");
    policy.keepTime = options.milliseconds("keep-ms");
    policy.loadLag = options.milliseconds("load-lag-ms");
    return policy;
}

PrefixCachePolicy cachePolicy(const Options &options)
{
    PrefixCachePolicy policy;
    policy.capacity = static_cast<std::size_t>(options.number("cached-prefixes"));
    policy.eventLag = options.milliseconds("cache-event-lag-ms");
    policy.lostEvery = static_cast<std::uint64_t>(options.number("lose-cache-event-every"));
    return policy;
}

} // namespace

std::vector<OptionSpec> ModelService::optionSpecs()
{
    return {
        {"slots", "4", "number of streams that run at once"},
        {"ms-per-token", "5", "length of a step, which generates a token for each running stream"},
        {"ms-per-prompt-token", "0.2", "time to process a prompt token that is not in the cache"},
        {"keep-ms", "3000", "time for which a stream without a reader is kept"},
        {"load-lag-ms", "200", "age of the load report"},
        {"cached-prefixes", "64", "number of prefixes in the cache"},
        {"cache-event-lag-ms", "200", "age at which cache events are reported"},
        {"lose-cache-event-every", "0", "lose every Nth cache event; 0: none"},
        {"check-fences", "false", "refuse work and orders with an old fencing token"}};
}

Base::Result<std::unique_ptr<Service>> ModelService::create(const Options &options)
{
    return std::unique_ptr<Service>(new ModelService(options));
}

ModelService::ModelService(const Options &options)
    : m_slots(static_cast<std::size_t>(options.number("slots")))
    , m_isCheckingFences(options.isSet("check-fences"))
    , m_cache(cachePolicy(options))
    , m_engine(enginePolicy(options), m_faults)
{}

HttpResponse ModelService::handle(const HttpRequest &request)
{
    if (request.path == "/faults")
        return m_faults.handle(request);
    if (request.path == "/journal")
        return m_journal.handle();
    if (request.path == "/load")
        return load();
    if (request.path == "/v1/cache-events")
        return cacheEvents(request);
    if (request.path == "/v1/orders" && request.method == "POST")
        return order(request);
    if (request.path.rfind(streamsPath, 0) == 0 && request.method == "DELETE")
        return cancel(request);
    if (request.path == "/v1/chat/completions" && request.method == "POST")
        return complete(request);
    return errorResponse(404, "no such call");
}

HttpResponse ModelService::complete(const HttpRequest &request)
{
    const FaultPlan fault = m_faults.take();
    if (fault.mode == "refuse") {
        HttpResponse refused = errorResponse(503, "refused");
        refused.headers["X-Not-Run"] = "yes";
        refused.headers["Retry-After"] = "1";
        return refused;
    }
    const std::string resumed = request.header("X-Resume-Stream");
    if (resumed.empty())
        return begin(request, fault);
    if (!m_engine.hasStream(resumed))
        return errorResponse(404, "no such stream");
    return streamFrom(request, resumed, request.headerNumber("X-Resume-From"), fault);
}

HttpResponse ModelService::begin(const HttpRequest &request, const FaultPlan &fault)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return errorResponse(400, "no JSON object");
    const std::string key = request.header("Idempotency-Key");
    const bool isFenced = !key.empty() && m_isCheckingFences;
    if (isFenced && !m_fences.accept(key, request.headerNumber("X-Fence"))) {
        HttpResponse refused = errorResponse(409, "old fencing number");
        refused.headers["X-Not-Run"] = "yes";
        return refused;
    }
    const std::string prompt = promptOf(body);
    Answer answer;
    answer.model = textOf(body, "model");
    answer.hash = hex(Base::stableHash(prompt));
    answer.promptTokens = std::max<std::uint64_t>(wordCount(prompt), 1);
    answer.tokens = numberOf(body, "max_tokens");
    if (answer.tokens == 0)
        answer.tokens = defaultTokens;

    Generation generation;
    const std::string prefix = request.header("X-Prefix");
    const bool isCached = !prefix.empty() && m_cache.use(prefix);
    generation.uncachedPromptTokens = isCached ? 0 : answer.promptTokens;
    generation.tokens = answer.tokens;
    generation.eventText = [answer](std::uint64_t index) { return answer.eventText(index); };
    auto entry = std::make_shared<std::size_t>(0);
    generation.onBegin = [this, entry, request] { *entry = m_journal.begin(request); };
    generation.onEnd = [this, entry](const std::string &state) { m_journal.end(*entry, state); };
    const std::string name = m_engine.submit(std::move(generation));
    return streamFrom(request, name, 0, fault);
}

HttpResponse ModelService::streamFrom(const HttpRequest &request, const std::string &name,
                                      std::uint64_t index, const FaultPlan &fault)
{
    // The head of the answer is sent with the first event. A caller that hangs up earlier does not
    // know the stream's name and cannot resume it, so the stream is cancelled.
    while (true) {
        const std::optional<std::string> first = m_engine.event(name, index, hangupCheckInterval);
        if (!first || !first->empty())
            break;
        if (isConnectionOpen(request.connection))
            continue;
        m_engine.cancel(name);
        return errorResponse(499, "caller gone");
    }
    auto body = std::make_unique<EventBody>(m_engine, name, index, request.connection);
    if (fault.mode == "cut")
        body->cutAfter(fault.afterEvents);
    HttpResponse response;
    response.headers["Content-Type"] = "text/event-stream";
    response.headers["X-Stream-Name"] = name;
    response.stream = std::move(body);
    return response;
}

HttpResponse ModelService::cancel(const HttpRequest &request)
{
    if (!m_engine.cancel(request.path.substr(sizeof streamsPath - 1)))
        return errorResponse(404, "no such stream");
    HttpResponse response;
    response.status = 204;
    return response;
}

HttpResponse ModelService::load() const
{
    const EngineLoad load = m_engine.load();
    return jsonResponse(200,
                        {{"running", load.running}, {"queued", load.queued}, {"slots", m_slots}});
}

HttpResponse ModelService::cacheEvents(const HttpRequest &request) const
{
    const std::string text = request.query("after");
    std::uint64_t after = 0;
    std::from_chars(text.data(), text.data() + text.size(), after);
    Json events = Json::array();
    for (const CacheEvent &event : m_cache.eventsAfter(after))
        events.push_back({{"seq", event.seq},
                          {"kind", event.isStored ? "stored" : "evicted"},
                          {"prefix", event.prefix}});
    return jsonResponse(200, {{"events", events}});
}

HttpResponse ModelService::order(const HttpRequest &request)
{
    const Json body = Json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return errorResponse(400, "no JSON object");
    // All orders to a server share one sequence of fencing tokens.
    if (m_isCheckingFences && !m_fences.accept("", numberOf(body, "fence")))
        return errorResponse(409, "old fencing number");
    const std::lock_guard lock(m_orderMutex);
    m_orders.push_back(body.dump());
    return jsonResponse(200, {{"orders", m_orders.size()}});
}

} // namespace StandIn
