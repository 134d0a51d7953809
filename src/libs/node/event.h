#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "node/backendclient.h"
#include "node/callersink.h"
#include "node/peermessage.h"
#include "settings/configuration.h"
#include "storage/hostlist.h"
#include "storage/objectstore.h"
#include "storage/tableservice.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace Node {

/// A caller's request, parsed from HTTP but not yet authenticated.
struct CallerRequest
{
    CallerId caller = 0;
    WorkKind kind = WorkKind::ChatCompletion;
    /// Model or service name.
    std::string target;
    /// Path of a service call, with a leading slash.
    std::string path;
    std::string contentType;
    std::string body;
    bool isStreaming = false;
    /// SHA-256 of the bearer key in lower-case hexadecimal; empty if the caller sent no key.
    std::string keyDigest;
    Base::ClassId workClass;
    bool isRepeatable = true;
    std::string idempotencyKey;
    std::optional<Base::Milliseconds> deadline;
    std::string traceparent;
    /// Estimated number of prompt tokens.
    std::uint64_t promptTokens = 0;
    /// The caller's limit on generated tokens; 0 if it set none.
    std::uint64_t maxTokens = 0;
    /// Hash of the start of the prompt; 0 if there is no prompt.
    std::uint64_t prefix = 0;
};

/// The caller closed its connection.
struct CallerDisconnected
{
    CallerId caller = 0;
};

/// The caller's output buffer is full, because it reads more slowly than its answer arrives.
struct CallerBlocked
{
    CallerId caller = 0;
};

/// The caller's output buffer has room again.
struct CallerUnblocked
{
    CallerId caller = 0;
};

/// A caller requested the list of entry hosts.
struct EntryHostsRequested
{
    CallerId caller = 0;
    /// Availability zone of the caller; if empty, that of this process is used.
    Base::ZoneId zone;
};

/// An operator requested the targets of all classes of work.
struct TargetsRequested
{
    CallerId caller = 0;
};

/// An operator requested to change the target of a class of work.
struct TargetWriteRequested
{
    CallerId caller = 0;
    Settings::ClassTarget target;
    /// Version that the change is based on, from the If-Match header.
    Settings::ConfigurationVersion seen = 0;
};

/// An operator requested the status of this node.
struct StatusRequested
{
    CallerId caller = 0;
};

/// A message of another router arrived.
struct PeerMessageArrived
{
    Base::HostId from;
    Base::Incarnation incarnation = 0;
    PeerMessage message;
};

/// A message to \a host could not be delivered, or the connection to it broke.
struct PeerUnreachable
{
    Base::HostId host;
};

/// The platform's list of hosts arrived.
struct HostListArrived
{
    Storage::HostListing listing;
};

/// The platform requested a graceful shutdown: the process finishes its open requests and takes
/// no new ones.
struct ShutdownRequested
{};

using Event =
    std::variant<CallerRequest, CallerDisconnected, CallerBlocked, CallerUnblocked,
                 EntryHostsRequested, TargetsRequested, TargetWriteRequested, StatusRequested,
                 PeerMessageArrived, PeerUnreachable, BackendHead, BackendPart, BackendFinished,
                 BackendFailed, BackendLoad, Storage::TableOutcome, Storage::ObjectOutcome,
                 HostListArrived, ShutdownRequested>;

} // namespace Node
