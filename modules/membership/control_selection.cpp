#include "modules/membership/control_selection.h"

namespace teasellock {

namespace {

std::size_t knownCount(const control_selection &Selection) {
  return Selection.Configured.size() + Selection.Named.size();
}

const endpoint &addressAt(const control_selection &Selection, std::size_t At) {
  std::size_t Configured = Selection.Configured.size();
  return At < Configured ? Selection.Configured[At]
                         : Selection.Named[At - Configured];
}

} // namespace

std::optional<endpoint> chooseControl(control_selection &Selection,
                                      const reachability &IsReachable) {
  if (Selection.Leader && IsReachable(*Selection.Leader))
    return Selection.Leader;
  std::size_t Count = knownCount(Selection);
  for (std::size_t I = 0; I < Count; ++I) {
    std::size_t At = (Selection.Next + I) % Count;
    const endpoint &Address = addressAt(Selection, At);
    if (!IsReachable(Address) ||
        (Count > 1 && Address == Selection.Unresponsive))
      continue;
    Selection.Next = At;
    return Address;
  }
  Selection.Unresponsive.reset();
  return std::nullopt;
}

void selectNextControl(control_selection &Selection) {
  Selection.Leader.reset();
  if (std::size_t Count = knownCount(Selection))
    Selection.Next = (Selection.Next + 1) % Count;
}

void recordNoReply(control_selection &Selection,
                   const std::optional<endpoint> &Target) {
  Selection.Unresponsive = Target;
  selectNextControl(Selection);
}

void recordReply(control_selection &Selection,
                 const std::optional<endpoint> &Target) {
  if (Target != Selection.Unresponsive)
    Selection.Unresponsive.reset();
}

} // namespace teasellock
