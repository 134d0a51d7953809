#include "virtualfleet/modelserver.h"

#include "node/nodeconstants.h"

#include <algorithm>
#include <utility>

namespace VirtualFleet {

ModelServer::ModelServer(EventQueue &queue, const EngineShape &shape)
    : m_queue(&queue)
    , m_shape(shape)
{}

ModelServer::Token ModelServer::submit(const Work &work, AnswerSink *sink)
{
    const Token token = ++m_lastToken;
    Job job;
    job.work = work;
    job.sink = sink;
    m_jobs[token] = job;
    m_waiting.push_back(token);
    startWaiting();
    return token;
}

bool ModelServer::resume(Token token, AnswerSink *sink, std::uint64_t fromPart)
{
    const auto it = m_jobs.find(token);
    if (it == m_jobs.end() || fromPart > it->second.parts)
        return false;
    Job &job = it->second;
    job.sink = sink;
    sink->started();
    for (std::uint64_t index = fromPart; index < job.parts; ++index)
        sink->part(index, payload(job, index), 0);
    return true;
}

std::string ModelServer::payload(const Job &job, std::uint64_t index)
{
    return std::to_string(job.work.serial) + ':' + std::to_string(index);
}

void ModelServer::cancel(Token token)
{
    const auto it = m_jobs.find(token);
    if (it == m_jobs.end())
        return;
    if (it->second.isRunning)
        --m_running;
    else
        m_waiting.erase(std::find(m_waiting.begin(), m_waiting.end(), token));
    m_jobs.erase(it);
    startWaiting();
}

void ModelServer::detach(Token token)
{
    const auto it = m_jobs.find(token);
    if (it != m_jobs.end())
        it->second.sink = nullptr;
}

void ModelServer::setFrozen(bool isFrozen)
{
    m_isFrozen = isFrozen;
    if (isFrozen)
        return;
    for (const Token token : std::exchange(m_stalledTokens, {}))
        stepAfter(token, Base::Duration::zero());
    startWaiting();
}

void ModelServer::startWaiting()
{
    while (!m_isFrozen && !m_waiting.empty() && m_running < m_shape.slots) {
        const Token token = m_waiting.front();
        m_waiting.pop_front();
        Job &job = m_jobs.at(token);
        job.isRunning = true;
        ++m_running;
        m_startedSerials.push_back(job.work.serial);
        if (m_startListener)
            m_startListener(job.work);
        stepAfter(token, m_shape.timePerPromptToken * job.work.promptTokens);
    }
}

Base::Duration ModelServer::slowed(Base::Duration duration) const
{
    return std::chrono::duration_cast<Base::Duration>(duration * m_slowness);
}

void ModelServer::stepAfter(Token token, Base::Duration delay)
{
    m_queue->after(slowed(delay), [this, token] { step(token); });
}

void ModelServer::step(Token token)
{
    const auto it = m_jobs.find(token);
    if (it == m_jobs.end())
        return;
    if (m_isFrozen) {
        m_stalledTokens.push_back(token);
        return;
    }
    Job &job = it->second;
    const bool isFirst = job.parts == 0;
    // The first part holds the prompt's work and one token; each later part holds several tokens.
    const std::uint32_t remaining = job.work.generatedTokens - job.generated;
    const std::uint32_t tokens =
        isFirst ? std::min(remaining, 1U) : std::min(remaining, m_shape.tokensPerPart);
    const Base::ServiceUnits units =
        tokens * Node::generatedTokenWeight + (isFirst ? job.work.promptTokens : 0);
    job.generated += tokens;
    const std::uint64_t index = job.parts++;
    if (m_serviceListener)
        m_serviceListener(job.work, units);
    AnswerSink *const sink = job.sink;
    if (sink && isFirst)
        sink->started();
    if (sink)
        sink->part(index, payload(job, index), units);
    if (job.generated < job.work.generatedTokens) {
        const std::uint32_t nextTokens =
            std::min(job.work.generatedTokens - job.generated, m_shape.tokensPerPart);
        stepAfter(token, m_shape.timePerToken * nextTokens);
        return;
    }
    AnswerSink *const finalSink = job.sink;
    const std::uint64_t parts = job.parts;
    m_jobs.erase(it);
    --m_running;
    if (finalSink)
        finalSink->finished(parts);
    startWaiting();
}

} // namespace VirtualFleet
