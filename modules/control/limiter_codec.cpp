#include "modules/control/limiter_codec.h"

namespace teasellock {

wire::limiter_holder toWire(const std::optional<limiter_holder> &Holder) {
  wire::limiter_holder Result;
  if (!Holder)
    return Result;
  Result.vm = Holder->Vm.Value;
  Result.incarnation = static_cast<std::int64_t>(Holder->Incarnation.Value);
  Result.address = toString(Holder->Address);
  return Result;
}

std::optional<limiter_holder> fromWire(const wire::limiter_holder &Holder) {
  if (Holder.vm.empty())
    return std::nullopt;
  return limiter_holder{
      vm_id(Holder.vm),
      incarnation(static_cast<std::uint64_t>(Holder.incarnation)),
      parseEndpoint(Holder.address)};
}

} // namespace teasellock
