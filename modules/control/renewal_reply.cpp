#include "modules/control/renewal_reply.h"

#include "modules/link/codec.h"

#include <algorithm>

namespace teasellock {

wire::renewal_reply changesSince(const control_state &State, revision Applied) {
  std::vector<const group_state *> Changed;
  for (const auto &[Name, Group] : State.Groups)
    if (Group.Revision > Applied)
      Changed.push_back(&Group);
  std::sort(Changed.begin(), Changed.end(),
            [](const group_state *Left, const group_state *Right) {
              return Left->Revision < Right->Revision;
            });
  wire::renewal_reply Reply;
  Reply.revision = static_cast<std::int64_t>(State.Applied.Value);
  std::size_t Bytes = 0;
  for (const auto *Group : Changed) {
    auto View = toWire(viewOf(*Group));
    Bytes += encode(View).size();
    bool SameRevision =
        !Reply.groups.empty() && Reply.groups.back().revision == View.revision;
    // Groups changed by one entry stay together, or the rest would be missed.
    if (!Reply.groups.empty() && !SameRevision && Bytes > LargestRenewalReply) {
      Reply.more = true;
      Reply.revision = Reply.groups.back().revision;
      break;
    }
    Reply.groups.push_back(std::move(View));
  }
  return Reply;
}

} // namespace teasellock
