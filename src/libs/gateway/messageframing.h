#pragma once

#include "gateway/httptext.h"

#include <cstdint>
#include <string_view>

namespace Gateway {

/// What the head of a message tells about where the message ends.
enum class Framing {
    Clear,
    /// Recipients may disagree on where the message ends, or for which host it is.
    Malformed,
    /// The body ends with its last chunk, but has a transfer coding that is not known here.
    UnknownCoding,
};

/// Decides by RFC 9112 whether the end of a message is clear. Of the forms that recipients may read
/// in several ways none is clear, also where the RFC allows it to be read.
Framing requestFraming(const RequestHead &head);
/// Whether \a head has a status of HTTP and tells by the same rules where its answer ends. Any
/// other head is no answer. Called by everyone who reads answers, before anything else of a head is
/// used.
bool isAnswerHead(const ResponseHead &head);
/// Whether the answer with \a head has neither a length nor chunks.
bool endsWithConnection(const ResponseHead &head);
/// HTTP status with which a request is refused whose framing is not clear.
unsigned framingStatus(Framing framing);

/// Whether a field is continued on the next line of \a lines, which are whole lines of a head. The
/// parser replaces the line break, so the parsed fields do not show it.
bool hasFoldedLine(std::string_view lines);
/// Replaces an absolute target by its path, and the host by that of the target. Returns whether the
/// target is well-formed.
bool takeAbsoluteTarget(RequestHead &head);
/// Called by the parser for the \a extensions of each chunk. Fails if a quoted one has a control
/// character, which the parser lets pass.
void checkChunkExtensions(std::uint64_t size, boost::beast::string_view extensions,
                          boost::system::error_code &ec);

} // namespace Gateway
