#include "modules/deployment/consistency_name.h"

namespace teasellock {

const char *nameOf(consistency Consistency) {
  switch (Consistency) {
  case consistency::Primary:
    return "primary";
  case consistency::BoundedStaleness:
    return "bounded_staleness";
  case consistency::ReadYourWrites:
    return "read_your_writes";
  }
  return "read_your_writes";
}

std::optional<consistency> findConsistency(std::string_view Name) {
  for (auto Consistency : {consistency::Primary, consistency::BoundedStaleness,
                           consistency::ReadYourWrites})
    if (Name == nameOf(Consistency))
      return Consistency;
  return std::nullopt;
}

} // namespace teasellock
