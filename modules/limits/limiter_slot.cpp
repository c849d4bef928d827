#include "modules/limits/limiter_slot.h"

#include "modules/limits/limiter_view.h"

namespace teasellock {

namespace {

constexpr std::uint64_t FnvOffsetBasis = 0xcbf29ce484222325;
constexpr std::uint64_t FnvPrime = 0x100000001b3;

} // namespace

std::uint64_t hashOfName(std::string_view Name) {
  std::uint64_t Hash = FnvOffsetBasis;
  for (char Character : Name) {
    Hash ^= static_cast<unsigned char>(Character);
    Hash *= FnvPrime;
  }
  return Hash;
}

std::uint32_t limiterSlotOf(const organisation_id &Organisation) {
  return static_cast<std::uint32_t>(hashOfName(Organisation.Value) %
                                    LimiterSlotCount);
}

} // namespace teasellock
