#include "modules/deployment/key_digest.h"

#include "core/error.h"

#include <array>
#include <openssl/evp.h>

namespace teasellock {

namespace {

/// Two of 2^64 keys are expected to have the same digest of this length.
constexpr std::size_t DigestBytes = 16;
constexpr std::size_t FingerprintBytes = 4;

} // namespace

key_digest digestOf(std::string_view Key) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Buffer;
  unsigned Size = 0;
  if (EVP_Digest(Key.data(), Key.size(), Buffer.data(), &Size, EVP_sha256(),
                 nullptr) != 1 ||
      Size < DigestBytes)
    throw error("key.digest", "openssl", "SHA-256 is not available");
  return key_digest(std::string(Buffer.begin(), Buffer.begin() + DigestBytes));
}

std::string fingerprintOf(const key_digest &Digest) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (char Char : Digest.Value.substr(0, FingerprintBytes)) {
    auto Byte = static_cast<unsigned char>(Char);
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 15];
  }
  return Text;
}

} // namespace teasellock
