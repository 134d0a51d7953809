#include "gateway/hostreport.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <vector>

namespace Gateway {

namespace {

using Json = nlohmann::json;

/// Places of the fields in a report; the first element tells the form.
constexpr std::uint64_t form = 1;
enum Place : std::size_t {
    FormPlace,
    HostPlace,
    IncarnationPlace,
    SequencePlace,
    PeerAddressPlace,
    CallerAddressPlace,
    LeavingPlace,
    ServingPlace,
    ServersPlace,
    AskedPlace,
    ReceivedPlace,
    PartUsesPlace,
    PlaceCount,
};
constexpr std::size_t serverFields = 3;
constexpr std::size_t amountFields = 2;
constexpr std::size_t partUseFields = 3;

bool isReport(const Json &json)
{
    return json.is_array() && json.size() == PlaceCount && json[FormPlace] == form
           && json[HostPlace].is_string() && json[IncarnationPlace].is_number_unsigned()
           && json[SequencePlace].is_number_unsigned() && json[PeerAddressPlace].is_string()
           && json[CallerAddressPlace].is_string() && json[LeavingPlace].is_boolean()
           && json[ServingPlace].is_boolean() && json[ServersPlace].is_array()
           && json[AskedPlace].is_array() && json[ReceivedPlace].is_array()
           && json[PartUsesPlace].is_array();
}

bool readServer(const Json &json, Routing::HostLoad &load)
{
    if (!json.is_array() || json.size() != serverFields || !json[0].is_string()
        || !json[1].is_number_unsigned() || !json[2].is_number_unsigned())
        return false;
    load.servers[Base::ServerId(json[0].get<std::string>())] = {json[1].get<std::uint32_t>(),
                                                                json[2].get<std::uint32_t>()};
    return true;
}

using Amounts = std::map<Base::CustomerId, double>;

bool readAmount(const Json &json, Amounts &amounts)
{
    if (!json.is_array() || json.size() != amountFields || !json[0].is_string()
        || !json[1].is_number_unsigned())
        return false;
    amounts[Base::CustomerId(json[0].get<std::string>())] =
        static_cast<double>(json[1].get<std::uint64_t>());
    return true;
}

bool readPartUse(const Json &json, std::vector<Routing::PartUse> &uses)
{
    if (!json.is_array() || json.size() != partUseFields || !json[0].is_string()
        || !json[1].is_number_unsigned() || !json[2].is_number_unsigned())
        return false;
    uses.push_back({Base::ServerId(json[0].get<std::string>()), json[1].get<std::uint64_t>(),
                    json[2].get<std::uint32_t>()});
    return true;
}

Json partUsesJson(const std::vector<Routing::PartUse> &uses)
{
    Json json = Json::array();
    for (const Routing::PartUse &use : uses)
        json.push_back({use.server.value(), use.hash, use.tokens});
    return json;
}

Json amountsJson(const Amounts &amounts)
{
    Json json = Json::array();
    for (const auto &[customer, amount] : amounts)
        json.push_back({customer.value(), static_cast<std::uint64_t>(amount)});
    return json;
}

} // namespace

std::string encodeReport(const HostReport &report)
{
    Json servers = Json::array();
    for (const auto &[id, load] : report.load.servers)
        servers.push_back({id.value(), load.running, load.unreadTokens});
    const Json json = {form,
                       report.host.value(),
                       report.incarnation,
                       report.sequence,
                       report.peerAddress,
                       report.callerAddress,
                       report.isLeaving,
                       report.isServing,
                       std::move(servers),
                       amountsJson(report.load.asked),
                       amountsJson(report.load.received),
                       partUsesJson(report.load.partUses)};
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

Base::Result<HostReport> decodeReport(std::string_view bytes)
{
    const Json json = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!isReport(json))
        return boost::leaf::new_error(MalformedReport());
    HostReport report;
    report.host = Base::HostId(json[HostPlace].get<std::string>());
    report.incarnation = json[IncarnationPlace].get<std::uint64_t>();
    report.sequence = json[SequencePlace].get<std::uint64_t>();
    report.peerAddress = json[PeerAddressPlace].get<std::string>();
    report.callerAddress = json[CallerAddressPlace].get<std::string>();
    report.isLeaving = json[LeavingPlace].get<bool>();
    report.isServing = json[ServingPlace].get<bool>();
    for (const Json &it : json[ServersPlace]) {
        if (!readServer(it, report.load))
            return boost::leaf::new_error(MalformedReport());
    }
    for (const Json &it : json[AskedPlace]) {
        if (!readAmount(it, report.load.asked))
            return boost::leaf::new_error(MalformedReport());
    }
    for (const Json &it : json[ReceivedPlace]) {
        if (!readAmount(it, report.load.received))
            return boost::leaf::new_error(MalformedReport());
    }
    for (const Json &it : json[PartUsesPlace]) {
        if (!readPartUse(it, report.load.partUses))
            return boost::leaf::new_error(MalformedReport());
    }
    return report;
}

} // namespace Gateway
