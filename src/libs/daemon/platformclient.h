#pragma once

#include "base/result.h"
#include "daemon/bufferedtransfer.h"
#include "daemon/eventring.h"
#include "daemon/transferloop.h"
#include "storage/objectstore.h"
#include "storage/tableservice.h"

#include <memory>
#include <string>

namespace Daemon {

/// The status of a platform call, as far as HTTP shows it.
enum class PlatformCallStatus {
    Answered,
    Conflict,
    Missing,
    NotDone, ///< The request was never sent, or the service did nothing.
    Unknown, ///< The request was sent, but no reliable answer arrived.
};

/// Returns the status that \a answer stands for.
PlatformCallStatus callStatus(const BufferedAnswer &answer);

/// Calls the platform's table, object store and host list for the node. One thread runs all calls.
///
/// A call whose answer is lost is Unknown and never NotDone, unless no byte of the request was
/// sent: a write may have taken effect before its answer was lost.
class PlatformClient final : public Storage::TableService, public Storage::ObjectStore
{
public:
    /// Creates the client for the service at \a address, "IP:PORT". Fails with ClientUnavailable.
    static Base::Result<std::unique_ptr<PlatformClient>> create(const std::string &address,
                                                                EventRing &ring);

    void read(Storage::OperationId operation, const std::string &key) override;
    void scan(Storage::OperationId operation, const std::string &prefix, const std::string &after,
              std::size_t limit) override;
    void transact(Storage::OperationId operation,
                  const std::vector<Storage::TableWrite> &writes) override;
    void put(Storage::OperationId operation, const std::string &key,
             const std::string &value) override;
    void get(Storage::OperationId operation, const std::string &key) override;

    /// Requests the host list; the answer arrives as HostListArrived. The daemon calls this every
    /// hostListInterval.
    void pollHosts();

private:
    PlatformClient(const std::string &address, EventRing &ring);

    TransferRequest requestFor(const std::string &path) const;
    void startTransfer(const TransferRequest &request, BufferedTransfer::Done done);
    void startTableCall(Storage::OperationId operation, const TransferRequest &request);
    void handleTableAnswer(Storage::OperationId operation, const BufferedAnswer &answer);
    void handleObjectAnswer(Storage::OperationId operation, const BufferedAnswer &answer);
    void handleHostListing(const BufferedAnswer &answer);

    std::string m_address;
    EventRing &m_ring;
    std::unique_ptr<TransferLoop> m_loop;
};

} // namespace Daemon
