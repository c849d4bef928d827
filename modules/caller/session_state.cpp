#include "modules/caller/session_state.h"

#include "core/error.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <vector>

namespace teasellock {

namespace {

constexpr std::string_view TokenVersion = "1";
constexpr std::size_t MacBytes = 32;
constexpr std::size_t MaxTokenBytes = 1024;
/// Version, session id, group, term, offset and signature.
constexpr std::size_t TokenFieldCount = 6;

std::string toHex(std::string_view Bytes) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(Bytes.size() * 2);
  for (unsigned char Byte : Bytes) {
    Text += Digits[Byte >> 4];
    Text += Digits[Byte & 15];
  }
  return Text;
}

std::optional<std::string> fromHex(std::string_view Text) {
  if (Text.size() % 2 != 0)
    return std::nullopt;
  std::string Bytes;
  for (std::size_t I = 0; I < Text.size(); I += 2) {
    unsigned Byte = 0;
    auto End = Text.data() + I + 2;
    auto Result = std::from_chars(Text.data() + I, End, Byte, 16);
    if (Result.ptr != End)
      return std::nullopt;
    Bytes += static_cast<char>(Byte);
  }
  return Bytes;
}

std::string macOf(std::string_view Payload, const std::string &Secret) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Mac;
  unsigned Length = 0;
  HMAC(EVP_sha256(), Secret.data(), static_cast<int>(Secret.size()),
       reinterpret_cast<const unsigned char *>(Payload.data()), Payload.size(),
       Mac.data(), &Length);
  return toHex({reinterpret_cast<const char *>(Mac.data()), MacBytes});
}

std::vector<std::string_view> split(std::string_view Text, char Separator) {
  std::vector<std::string_view> Parts;
  for (;;) {
    auto End = Text.find(Separator);
    Parts.push_back(Text.substr(0, End));
    if (End == std::string_view::npos)
      return Parts;
    Text.remove_prefix(End + 1);
  }
}

[[noreturn]] void throwTokenError(const std::string &Field,
                                  const std::string &Problem) {
  throw error("session.token", "caller",
              "teasellock.session: " + Field + " " + Problem);
}

std::uint64_t parseNumber(std::string_view Text, const std::string &Field) {
  std::uint64_t Number = 0;
  auto End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Number);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    throwTokenError(Field, "is not a number");
  return Number;
}

bool isEqualInConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace

void updateFloorAfterWrite(session_state &Session, const position &Reached) {
  // The primary's position after a commit covers every earlier write.
  if (Reached == position())
    return;
  Session.Floor = Session.Floor ? std::max(*Session.Floor, Reached) : Reached;
}

void updateFloorAfterRead(session_state &Session, const position &Reached,
                          bool ByReplica) {
  if (Reached == position())
    return;
  if (!Session.Floor)
    Session.Floor = Reached;
  else if (ByReplica)
    Session.Floor = std::max(*Session.Floor, Reached);
}

void clearFloorAfterUnknownWrite(session_state &Session) {
  Session.Floor.reset();
}

std::string toToken(const session_state &Session, const std::string &Secret) {
  std::string Payload(TokenVersion);
  Payload += "." + toHex(Session.Id.Value) + "." + toHex(Session.Group.Value);
  if (Session.Floor)
    Payload += "." + toString(Session.Floor->Term) + "." +
               std::to_string(Session.Floor->Offset);
  else
    Payload += "..";
  return Payload + "." + macOf(Payload, Secret);
}

session_state parseToken(std::string_view Token, const group_id &Group,
                         const std::string &Secret) {
  if (Token.size() > MaxTokenBytes)
    throwTokenError("token", "is too long");
  auto Fields = split(Token, '.');
  if (Fields[0] != TokenVersion)
    throwTokenError("version", "is not supported");
  if (Fields.size() != TokenFieldCount)
    throwTokenError("token", "is malformed");
  auto Signature = Fields.back();
  auto Payload = Token.substr(0, Token.size() - Signature.size() - 1);
  if (!isEqualInConstantTime(Signature, macOf(Payload, Secret)))
    throwTokenError("signature", "does not match");
  session_state Session;
  auto Id = fromHex(Fields[1]);
  auto TokenGroup = fromHex(Fields[2]);
  if (!Id)
    throwTokenError("session id", "is malformed");
  if (!TokenGroup)
    throwTokenError("group", "is malformed");
  if (*TokenGroup != Group.Value)
    throwTokenError("group", "belongs to another database");
  Session.Id = session_id(*Id);
  Session.Group = Group;
  if (Fields[3].empty() && Fields[4].empty())
    return Session;
  position Floor;
  Floor.Term = term(parseNumber(Fields[3], "term"));
  Floor.Offset = parseNumber(Fields[4], "offset");
  Session.Floor = Floor;
  return Session;
}

} // namespace teasellock
