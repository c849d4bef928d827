#include "tests/soak/organisation_faults.h"

#include <algorithm>

namespace teasellock::soak {

namespace {

constexpr std::int64_t MinKeyChangeGapMs = 500;
constexpr std::int64_t MaxKeyChangeGapMs = 3000;

bool isFreeze(fault_kind Kind) {
  return Kind == fault_kind::FreezeEntry || Kind == fault_kind::FreezeControl;
}

/// Every other general fault, so that VMs are reached by control between them.
std::vector<fault> generateFewerFaults(std::uint64_t Seed, duration Span) {
  std::vector<fault> Faults;
  std::size_t Number = 0;
  for (auto &Fault : generateFaults(Seed, Span))
    if (++Number % 2 == 0 && !isFreeze(Fault.Kind) && Fault.StartOffset < Span)
      Faults.push_back(Fault);
  return Faults;
}

} // namespace

std::vector<fault> generateOrganisationFaults(std::uint64_t Seed,
                                              duration Span) {
  auto Faults = generateFewerFaults(Seed, Span);
  std::mt19937_64 Random(Seed + 2);
  auto Draw = [&](std::int64_t Min, std::int64_t Max) {
    return fromMilliseconds(
        std::uniform_int_distribution<std::int64_t>(Min, Max)(Random));
  };
  for (duration At{};;) {
    At += Draw(MinKeyChangeGapMs, MaxKeyChangeGapMs);
    if (At >= Span)
      break;
    Faults.push_back({At, {}, fault_kind::ChangeKey, Random()});
  }
  for (auto &Fault : Faults)
    Fault.Duration = std::min(Fault.Duration, Span - Fault.StartOffset);
  return Faults;
}

std::function<void()> beginOrganisationFault(soak_deployment &Deployment,
                                             const fault &) {
  Deployment.changeKey();
  return nullptr;
}

} // namespace teasellock::soak
