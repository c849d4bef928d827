#include "modules/control/renewal_reply.h"

#include "modules/link/codec.h"

#include <algorithm>

namespace teasellock {

namespace {

change_cursor cursorAt(const group_state &Group) {
  return {Group.Revision, Group.Group};
}

} // namespace

change_cursor cursorOf(const wire::renewal &Renewal) {
  return {revision(static_cast<std::uint64_t>(Renewal.after_revision)),
          group_id(Renewal.after_group)};
}

wire::renewal_reply changesSince(const control_state &State, revision Applied,
                                 const change_cursor &After) {
  wire::renewal_reply Reply;
  Reply.revision = static_cast<std::int64_t>(State.AppliedRevision.Value);
  // Almost no renewal finds a change, so it must not iterate over all groups.
  if (State.Index.LatestRevision <= Applied)
    return Reply;
  std::vector<const group_state *> Changed;
  for (const auto &[Name, Group] : State.Groups)
    if (Group.Revision > Applied && cursorAt(Group) > After)
      Changed.push_back(&Group);
  std::sort(Changed.begin(), Changed.end(),
            [](const group_state *Left, const group_state *Right) {
              return cursorAt(*Left) < cursorAt(*Right);
            });
  std::size_t Bytes = 0;
  for (const auto *Group : Changed) {
    auto View = toWire(viewOf(*Group));
    Bytes += encode(View).size();
    if (!Reply.groups.empty() && Bytes > MaxRenewalReplyBytes) {
      // The log entry that changed the last group may have changed more groups
      // than fit into the reply.
      Reply.more = true;
      Reply.revision = Reply.groups.back().revision - 1;
      break;
    }
    Reply.groups.push_back(std::move(View));
  }
  return Reply;
}

} // namespace teasellock
