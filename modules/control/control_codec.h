#pragma once

#include "modules/control/control_state.h"

namespace teasellock {

wire::vm_record toWire(const vm_record &Vm);
/// Throws error when the address can't be read.
vm_record fromWire(const wire::vm_record &Vm);
wire::group_record toWire(const group_state &Group);
/// Throws error when an address can't be read.
group_state fromWire(const wire::group_record &Record);

} // namespace teasellock
