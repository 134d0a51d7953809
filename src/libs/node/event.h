#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "node/backendclient.h"
#include "node/callerport.h"
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

/// A caller's request, parsed as far as HTTP goes.
struct CallerRequest
{
    CallerId caller = 0;
    WorkKind kind = WorkKind::ChatCompletion;
    /// Model or service name.
    std::string target;
    /// Of a service call, with a leading slash.
    std::string path;
    std::string contentType;
    std::string body;
    bool isStreaming = false;
    /// SHA-256 of the bearer key in lower-case hex; empty if there was none.
    std::string keyDigest;
    Base::ClassId workClass;
    bool isRepeatable = true;
    std::string idempotencyKey;
    std::optional<Base::Milliseconds> deadline;
    std::string traceparent;
    /// Rough number of prompt tokens.
    std::uint64_t promptTokens = 0;
    /// The caller's own limit on generated tokens; 0 if it gave none.
    std::uint64_t maxTokens = 0;
    /// Hash of the prompt's start; 0 if there is no prompt.
    std::uint64_t prefix = 0;
};

/// The caller hung up.
struct CallerGone
{
    CallerId caller = 0;
};

/// The caller reads slower than its answer comes: its buffer is full.
struct CallerBlocked
{
    CallerId caller = 0;
};

/// The caller's buffer has room again.
struct CallerReady
{
    CallerId caller = 0;
};

struct EntryHostsAsked
{
    CallerId caller = 0;
    /// The caller's availability zone if it said so; else this process's own.
    Base::ZoneId zone;
};

struct TargetsAsked
{
    CallerId caller = 0;
};

struct TargetWriteAsked
{
    CallerId caller = 0;
    Settings::ClassTarget target;
    /// From If-Match.
    Settings::ConfigurationVersion seen = 0;
};

struct StatusAsked
{
    CallerId caller = 0;
};

struct PeerMessageArrived
{
    Base::HostId from;
    Base::Incarnation incarnation = 0;
    PeerMessage message;
};

/// A message to \a host could not be delivered, or its connection was cut.
struct PeerUnreachable
{
    Base::HostId host;
};

struct HostListArrived
{
    Storage::HostListing listing;
};

/// The platform's agent told this process to leave: finish everything, take nothing new.
struct ShutdownAsked
{};

using Event =
    std::variant<CallerRequest, CallerGone, CallerBlocked, CallerReady, EntryHostsAsked,
                 TargetsAsked, TargetWriteAsked, StatusAsked, PeerMessageArrived, PeerUnreachable,
                 BackendHead, BackendPart, BackendFinished, BackendFailed, BackendLoad,
                 Storage::TableOutcome, Storage::ObjectOutcome, HostListArrived, ShutdownAsked>;

} // namespace Node
