#include "modules/gateway/group_handler.h"

#include <algorithm>

namespace teasellock {

const gateway_share *findOwnShare(const group_view &View,
                                  const vm_identity &Self) {
  auto OwnShare = std::find_if(View.Gateways.begin(), View.Gateways.end(),
                               [&](const gateway_share &Each) {
                                 return Each.Vm == Self.Vm &&
                                        Each.Incarnation == Self.Incarnation;
                               });
  return OwnShare == View.Gateways.end() ? nullptr : &*OwnShare;
}

} // namespace teasellock
