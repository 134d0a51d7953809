#include "daemon/platformclient.h"

#include "daemon/daemonconstants.h"
#include "daemon/platformcodec.h"
#include "daemon/urlencoding.h"

#include <utility>

namespace Daemon {

namespace {

Storage::TableStatus tableStatus(PlatformVerdict verdict)
{
    switch (verdict) {
    case PlatformVerdict::Answered:
        return Storage::TableStatus::Done;
    case PlatformVerdict::Conflict:
        return Storage::TableStatus::Conflict;
    case PlatformVerdict::NotDone:
        return Storage::TableStatus::NotDone;
    case PlatformVerdict::Missing:
    case PlatformVerdict::Unknown:
        break;
    }
    return Storage::TableStatus::Unknown;
}

Storage::ObjectStatus objectStatus(PlatformVerdict verdict)
{
    switch (verdict) {
    case PlatformVerdict::Answered:
        return Storage::ObjectStatus::Done;
    case PlatformVerdict::Missing:
        return Storage::ObjectStatus::Missing;
    case PlatformVerdict::NotDone:
        return Storage::ObjectStatus::NotDone;
    case PlatformVerdict::Conflict:
    case PlatformVerdict::Unknown:
        break;
    }
    return Storage::ObjectStatus::Unknown;
}

} // namespace

PlatformVerdict verdictOf(const BufferedAnswer &answer)
{
    if (!answer.isComplete())
        return answer.isSent ? PlatformVerdict::Unknown : PlatformVerdict::NotDone;
    switch (answer.status) {
    case 200:
    case 204:
        return PlatformVerdict::Answered;
    case 404:
        return PlatformVerdict::Missing;
    case 409:
        return PlatformVerdict::Conflict;
    case 429:
    case 503:
        return PlatformVerdict::NotDone;
    default:
        return PlatformVerdict::Unknown;
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
    startTable(operation, requestFor("/table/row?key=" + percentEncoded(key)));
}

void PlatformClient::scan(Storage::OperationId operation, const std::string &prefix,
                          const std::string &after, std::size_t limit)
{
    startTable(operation, requestFor("/table/rows?prefix=" + percentEncoded(prefix) + "&after="
                                     + percentEncoded(after) + "&limit=" + std::to_string(limit)));
}

void PlatformClient::transact(Storage::OperationId operation,
                              const std::vector<Storage::TableWrite> &writes)
{
    TransferRequest request = requestFor("/table/transact");
    request.method = "POST";
    request.headers.emplace_back("Content-Type: application/json");
    request.body = encodeWrites(writes);
    startTable(operation, request);
}

void PlatformClient::put(Storage::OperationId operation, const std::string &key,
                         const std::string &value)
{
    TransferRequest request = requestFor("/objects/" + percentEncoded(key));
    request.method = "PUT";
    request.headers.emplace_back("Content-Type: application/octet-stream");
    request.body = value;
    start(request, [this, operation](const BufferedAnswer &it) { takeObject(operation, it); });
}

void PlatformClient::get(Storage::OperationId operation, const std::string &key)
{
    start(requestFor("/objects/" + percentEncoded(key)),
          [this, operation](const BufferedAnswer &it) { takeObject(operation, it); });
}

void PlatformClient::pollHosts()
{
    start(requestFor("/hosts"), [this](const BufferedAnswer &it) { takeListing(it); });
}

TransferRequest PlatformClient::requestFor(const std::string &path) const
{
    TransferRequest request;
    request.url = "http://" + m_address + path;
    request.deadline = Base::Clock::now() + platformTimeout;
    return request;
}

void PlatformClient::start(const TransferRequest &request, BufferedTransfer::Done done)
{
    m_loop->post([this, request, done = std::move(done)] {
        m_loop->add(std::make_unique<BufferedTransfer>(request, maxPlatformAnswerBytes, done));
    });
}

void PlatformClient::startTable(Storage::OperationId operation, const TransferRequest &request)
{
    start(request, [this, operation](const BufferedAnswer &it) { takeRows(operation, it); });
}

void PlatformClient::takeRows(Storage::OperationId operation, const BufferedAnswer &answer)
{
    Storage::TableOutcome outcome;
    outcome.operation = operation;
    outcome.status = tableStatus(verdictOf(answer));
    if (outcome.status == Storage::TableStatus::Done) {
        const bool isRead = boost::leaf::try_handle_all(
            [&]() -> Base::Result<bool> {
                BOOST_LEAF_ASSIGN(outcome.rows, decodeRows(answer.body));
                return true;
            },
            [] { return false; });
        if (!isRead)
            outcome.status = Storage::TableStatus::Unknown;
    }
    m_ring.push(outcome);
}

void PlatformClient::takeObject(Storage::OperationId operation, const BufferedAnswer &answer)
{
    const Storage::ObjectStatus status = objectStatus(verdictOf(answer));
    const bool hasValue = status == Storage::ObjectStatus::Done;
    m_ring.push(Storage::ObjectOutcome{operation, status, hasValue ? answer.body : std::string()});
}

void PlatformClient::takeListing(const BufferedAnswer &answer)
{
    if (verdictOf(answer) != PlatformVerdict::Answered)
        return;
    boost::leaf::try_handle_all(
        [&]() -> Base::Result<void> {
            BOOST_LEAF_AUTO(listing, decodeListing(answer.body));
            m_ring.push(Node::HostListArrived{std::move(listing)});
            return {};
        },
        // Kept as it was: the next poll brings another list.
        [] {});
}

} // namespace Daemon
