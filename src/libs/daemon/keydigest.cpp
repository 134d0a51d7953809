#include "daemon/keydigest.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <array>

namespace Daemon {

std::string keyDigest(std::string_view key)
{
    constexpr std::size_t digestBytes = 32;
    std::array<unsigned char, digestBytes> digest{};
    if (gnutls_hash_fast(GNUTLS_DIG_SHA256, key.data(), key.size(), digest.data()) < 0)
        return {};
    constexpr char digits[] = "0123456789abcdef";
    std::string hex;
    for (const unsigned char it : digest) {
        hex += digits[it >> 4];
        hex += digits[it & 15];
    }
    return hex;
}

} // namespace Daemon
