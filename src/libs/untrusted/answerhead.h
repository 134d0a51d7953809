#pragma once

namespace Untrusted {

/// Whether a server may answer with \a status: a status of HTTP (RFC 9110, 15), and not 101, since
/// nobody here asks for another protocol.
bool isAnswerStatus(unsigned status);

} // namespace Untrusted
