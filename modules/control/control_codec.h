/// Conversions between the replicated state and its wire types. Those from the
/// wire types throw error if an address is malformed.
#pragma once

#include "modules/control/control_state.h"

namespace teasellock {

wire::vm_record toWire(const vm_record &Vm);
vm_record fromWire(const wire::vm_record &Vm);
wire::group_record toWire(const group_state &Group);
group_state fromWire(const wire::group_record &Record);
wire::limiter_record toWire(const limiter_assignment &Assignment);
limiter_assignment fromWire(const wire::limiter_record &Record);

} // namespace teasellock
