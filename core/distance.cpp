#include "core/distance.h"

namespace teasellock {

distance distanceTo(const vm_identity &Self,
                    const availability_zone_id &AvailabilityZone,
                    const region_id &Region) {
  if (AvailabilityZone == Self.AvailabilityZone)
    return distance::SameZone;
  return Region == Self.Region ? distance::SameRegion : distance::OtherRegion;
}

const char *nameOf(distance Distance) {
  switch (Distance) {
  case distance::SameVm:
    return "vm";
  case distance::SameZone:
    return "zone";
  case distance::SameRegion:
    return "region";
  case distance::OtherRegion:
    break;
  }
  return "other_region";
}

} // namespace teasellock
