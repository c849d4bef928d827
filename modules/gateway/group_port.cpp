#include "modules/gateway/group_port.h"

#include <algorithm>

namespace teasellock {

const gateway_share *findOwnShare(const group_view &View,
                                  const vm_identity &Self) {
  auto Mine = std::find_if(View.Gateways.begin(), View.Gateways.end(),
                           [&](const gateway_share &Each) {
                             return Each.Vm == Self.Vm &&
                                    Each.Incarnation == Self.Incarnation;
                           });
  return Mine == View.Gateways.end() ? nullptr : &*Mine;
}

} // namespace teasellock
