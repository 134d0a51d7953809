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

/// What a call of the platform came to, as far as HTTP goes.
enum class PlatformCallStatus {
    Answered,
    Conflict,
    Missing,
    NotDone, ///< Never sent, or the service said that it did nothing.
    Unknown, ///< Sent, and no answer that can be trusted.
};

PlatformCallStatus callStatus(const BufferedAnswer &answer);

/// The node's way to the platform's table, object store and host list: one thread for all.
///
/// An answer that is lost is Unknown and never NotDone, unless not a byte was sent: a write
/// may have taken effect before its answer was lost.
class PlatformClient final : public Storage::TableService, public Storage::ObjectStore
{
public:
    /// \a address is "IP:PORT". Begins to poll the host list. Fails with ClientUnavailable.
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

    /// Asks for the host list now; the answer comes as HostListArrived. The daemon calls it
    /// each hostListInterval.
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
