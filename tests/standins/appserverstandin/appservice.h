#pragma once

#include "common/faults.h"
#include "common/journal.h"
#include "common/program.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace StandIn {

/// An application server that answers every POST with the path and the body of the request.
class AppService final : public Service
{
public:
    static std::vector<OptionSpec> optionSpecs();
    static Base::Result<std::unique_ptr<Service>> create(const Options &options);

    HttpResponse handle(const HttpRequest &request) override;

private:
    explicit AppService(const Options &options);
    HttpResponse call(const HttpRequest &request);
    HttpResponse load() const;

    std::string m_name;
    bool m_isCheckingFences;
    std::chrono::milliseconds m_workTime;
    std::uint64_t m_slots;
    std::atomic<std::uint64_t> m_running = 0;
    Faults m_faults;
    Journal m_journal;
    FencingTokens m_fences;
};

} // namespace StandIn
