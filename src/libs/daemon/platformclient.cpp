#include "daemon/platformclient.h"

#include "daemon/daemonconstants.h"
#include "daemon/platformcodec.h"
#include "daemon/urlencoding.h"

#include <utility>

namespace Daemon {

namespace {

Storage::TableStatus tableStatus(PlatformCallStatus status)
{
    switch (status) {
    case PlatformCallStatus::Answered:
        return Storage::TableStatus::Done;
    case PlatformCallStatus::Conflict:
        return Storage::TableStatus::Conflict;
    case PlatformCallStatus::NotDone:
        return Storage::TableStatus::NotDone;
    case PlatformCallStatus::Missing:
    case PlatformCallStatus::Unknown:
        break;
    }
    return Storage::TableStatus::Unknown;
}

Storage::ObjectStatus objectStatus(PlatformCallStatus status)
{
    switch (status) {
    case PlatformCallStatus::Answered:
        return Storage::ObjectStatus::Done;
    case PlatformCallStatus::Missing:
        return Storage::ObjectStatus::Missing;
    case PlatformCallStatus::NotDone:
        return Storage::ObjectStatus::NotDone;
    case PlatformCallStatus::Conflict:
    case PlatformCallStatus::Unknown:
        break;
    }
    return Storage::ObjectStatus::Unknown;
}

} // namespace

PlatformCallStatus callStatus(const BufferedAnswer &answer)
{
    if (!answer.isComplete())
        return answer.isSent ? PlatformCallStatus::Unknown : PlatformCallStatus::NotDone;
    switch (answer.status) {
    case 200:
        return answer.isDelimited ? PlatformCallStatus::Answered : PlatformCallStatus::Unknown;
    case 204:
        return PlatformCallStatus::Answered;
    case 404:
        return PlatformCallStatus::Missing;
    case 409:
        return PlatformCallStatus::Conflict;
    case 429:
    case 503:
        return PlatformCallStatus::NotDone;
    default:
        return PlatformCallStatus::Unknown;
    }
}

Base::Result<std::unique_ptr<PlatformClient>> PlatformClient::create(const std::string &address,
                                                                     EventRing &ring)
{
    std::unique_ptr<PlatformClient> client(new PlatformClient(address, ring));
    BOOST_LEAF_ASSIGN(client->m_loop,
                      TransferLoop::create({platformConnections, platformConnections}));
    return client;
}

PlatformClient::PlatformClient(const std::string &address, EventRing &ring)
    : m_address(address)
    , m_ring(ring)
{}

void PlatformClient::read(Storage::OperationId operation, const std::string &key)
{
    startTableCall(operation, requestFor("/table/row?key=" + percentEncoded(key)));
}

void PlatformClient::scan(Storage::OperationId operation, const std::string &prefix,
                          const std::string &after, std::size_t limit)
{
    startTableCall(operation,
                   requestFor("/table/rows?prefix=" + percentEncoded(prefix) + "&after="
                              + percentEncoded(after) + "&limit=" + std::to_string(limit)));
}

void PlatformClient::transact(Storage::OperationId operation,
                              const std::vector<Storage::TableWrite> &writes)
{
    TransferRequest request = requestFor("/table/transact");
    request.method = "POST";
    request.headers.emplace_back("Content-Type: application/json");
    request.body = encodeWrites(writes);
    startTableCall(operation, request);
}

void PlatformClient::put(Storage::OperationId operation, const std::string &key,
                         const std::string &value)
{
    TransferRequest request = requestFor("/objects/" + percentEncoded(key));
    request.method = "PUT";
    request.headers.emplace_back("Content-Type: application/octet-stream");
    request.body = value;
    startTransfer(request, [this, operation](const BufferedAnswer &it) {
        handleObjectAnswer(operation, it);
    });
}

void PlatformClient::get(Storage::OperationId operation, const std::string &key)
{
    startTransfer(
        requestFor("/objects/" + percentEncoded(key)),
        [this, operation](const BufferedAnswer &it) { handleObjectAnswer(operation, it); });
}

void PlatformClient::pollHosts()
{
    startTransfer(requestFor("/hosts"),
                  [this](const BufferedAnswer &it) { handleHostListing(it); });
}

TransferRequest PlatformClient::requestFor(const std::string &path) const
{
    TransferRequest request;
    request.url = "http://" + m_address + path;
    request.deadline = Base::Clock::now() + platformTimeout;
    return request;
}

void PlatformClient::startTransfer(const TransferRequest &request, BufferedTransfer::Done done)
{
    m_loop->post([this, request, done = std::move(done)] {
        m_loop->add(std::make_unique<BufferedTransfer>(request, maxPlatformAnswerBytes, done));
    });
}

void PlatformClient::startTableCall(Storage::OperationId operation, const TransferRequest &request)
{
    startTransfer(
        request, [this, operation](const BufferedAnswer &it) { handleTableAnswer(operation, it); });
}

void PlatformClient::handleTableAnswer(Storage::OperationId operation, const BufferedAnswer &answer)
{
    Storage::TableOutcome outcome;
    outcome.operation = operation;
    outcome.status = tableStatus(callStatus(answer));
    if (outcome.status == Storage::TableStatus::Done) {
        const bool isDecoded = boost::leaf::try_handle_all(
            [&]() -> Base::Result<bool> {
                BOOST_LEAF_ASSIGN(outcome.rows, decodeRows(answer.body));
                return true;
            },
            [] { return false; });
        if (!isDecoded)
            outcome.status = Storage::TableStatus::Unknown;
    }
    m_ring.push(outcome);
}

void PlatformClient::handleObjectAnswer(Storage::OperationId operation,
                                        const BufferedAnswer &answer)
{
    const Storage::ObjectStatus status = objectStatus(callStatus(answer));
    const bool hasValue = status == Storage::ObjectStatus::Done;
    m_ring.push(Storage::ObjectOutcome{operation, status, hasValue ? answer.body : std::string()});
}

void PlatformClient::handleHostListing(const BufferedAnswer &answer)
{
    if (callStatus(answer) != PlatformCallStatus::Answered)
        return;
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(listing, decodeListing(answer.body));
            m_ring.push(Node::HostListArrived{std::move(listing)});
            return {};
        },
        // The known list stays in use; the next poll brings another one.
        [] {});
}

} // namespace Daemon
