/// How far apart two VMs, or a VM and an upstream, are.
#pragma once

#include "core/daemon_context.h"

namespace teasellock {

/// Distance classes, nearest first. Traffic is billed by them.
enum class distance { SameVm, SameZone, SameRegion, OtherRegion };

/// Returns the distance of an availability zone from a VM; never SameVm.
distance distanceTo(const vm_identity &Self,
                    const availability_zone_id &AvailabilityZone,
                    const region_id &Region);

/// Returns the name of a distance in metrics: "vm", "zone", "region" or
/// "other_region".
const char *nameOf(distance Distance);

} // namespace teasellock
