/// Digests of callers' keys.
///
/// A key is hashed where it is read, so that no other part of the program
/// handles the key itself.
#pragma once

#include "modules/deployment/deployment.h"

#include <string>
#include <string_view>

namespace teasellock {

/// Returns the digest of a key: the first 16 bytes of its SHA-256. Throws error
/// with step "key.digest" if OpenSSL can't compute it.
key_digest digestOf(std::string_view Key);

/// Returns the part of a digest that operators are shown: its first 8
/// hexadecimal digits.
std::string fingerprintOf(const key_digest &Digest);

} // namespace teasellock
