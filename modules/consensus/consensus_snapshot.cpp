#include "modules/consensus/consensus_internal.h"

#include <algorithm>

namespace teasellock {

void installAssembly(consensus_state &State, member_list Members,
                     consensus_effects &Effects) {
  auto Image = std::make_shared<log_snapshot>();
  Image->Index = State.Assembly.Index;
  Image->Term = State.Assembly.Term;
  Image->Members = std::move(Members);
  Image->Data = State.Assembly.Data;
  bool Keeps = State.Log.knows(Image->Index) &&
               State.Log.termAt(Image->Index) == Image->Term;
  if (Keeps) {
    State.Log.advanceBase(Image->Index);
    std::erase_if(State.Memberships, [&](const membership_record &Record) {
      return Record.Index <= Image->Index;
    });
  } else {
    State.Log.reset(Image->Index, Image->Term);
    State.SyncedIndex = Image->Index;
    State.Memberships.clear();
  }
  State.Memberships.insert(State.Memberships.begin(),
                           {Image->Index, Image->Members});
  State.CommitIndex = Image->Index;
  State.Snapshot = Image;
  Effects.Disk.push_back(install_snapshot{Image, !Keeps});
}

} // namespace teasellock
