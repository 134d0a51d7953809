#pragma once

#include "common/faults.h"
#include "common/journal.h"
#include "common/program.h"
#include "modelserverstandin/engine.h"
#include "modelserverstandin/prefixcache.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace StandIn {

/// A model server with an Engine and a PrefixCache; docs/PROTOCOLS.md describes its protocol.
///
/// An answer depends on the prompt only: its token i is "w<i>-<hash of the prompt>". A test can
/// therefore check that an answer belongs to its own request and is complete.
class ModelService final : public Service
{
public:
    static std::vector<OptionSpec> optionSpecs();
    static Base::Result<std::unique_ptr<Service>> create(const Options &options);

    HttpResponse handle(const HttpRequest &request) override;

private:
    explicit ModelService(const Options &options);

    HttpResponse complete(const HttpRequest &request);
    HttpResponse begin(const HttpRequest &request, const FaultPlan &fault);
    HttpResponse cancel(const HttpRequest &request);
    HttpResponse load() const;
    HttpResponse cacheEvents(const HttpRequest &request) const;
    HttpResponse order(const HttpRequest &request);
    HttpResponse streamFrom(const HttpRequest &request, const std::string &name,
                            std::uint64_t index, const FaultPlan &fault);

    std::size_t m_slots;
    bool m_isCheckingFences;
    Faults m_faults;
    Journal m_journal;
    FencingTokens m_fences;
    PrefixCache m_cache;
    std::mutex m_orderMutex;
    std::vector<std::string> m_orders;
    Engine m_engine;
};

} // namespace StandIn
