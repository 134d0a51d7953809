#pragma once

#include "common/faults.h"
#include "common/program.h"
#include "rowstorestandin/rowstore.h"

#include <atomic>
#include <memory>
#include <vector>

namespace StandIn {

/// The store of rows that a deployment of the gateway reads its configuration and its servers from,
/// in memory.
class RowStoreService final : public Service
{
public:
    static std::vector<OptionSpec> optionSpecs();
    static Base::Result<std::unique_ptr<Service>> create(const Options &options);

    HttpResponse handle(const HttpRequest &request) override;

private:
    /// The answer that a fault gives instead of the call's own; std::nullopt if the call goes on.
    std::optional<HttpResponse> faultResponse(const HttpRequest &request,
                                              const FaultPlan &fault) const;
    HttpResponse rows(const HttpRequest &request) const;
    HttpResponse feed(const HttpRequest &request) const;
    HttpResponse transact(const HttpRequest &request);
    /// Writes a row as an operator or a backend server does. The body is
    /// {"table","part","key","value"}; the value is any JSON, and null removes the row.
    HttpResponse put(const HttpRequest &request);

    RowStore m_store;
    Faults m_faults;
    std::atomic<std::uint64_t> m_calls = 0;
};

} // namespace StandIn
