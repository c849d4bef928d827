#include "modules/limits/limiter_slot.h"

#include "modules/limits/limiter_view.h"

namespace teasellock {

namespace {

constexpr std::uint64_t FnvOffsetBasis = 0xcbf29ce484222325;
constexpr std::uint64_t FnvPrime = 0x100000001b3;

} // namespace

std::uint32_t limiterSlotOf(const organisation_id &Organisation) {
  std::uint64_t Hash = FnvOffsetBasis;
  for (char Character : Organisation.Value) {
    Hash ^= static_cast<unsigned char>(Character);
    Hash *= FnvPrime;
  }
  return static_cast<std::uint32_t>(Hash % LimiterSlotCount);
}

} // namespace teasellock
