#include "modules/consensus/consensus_internal.h"

#include "modules/consensus/wire_members.h"

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

void sendSnapshotPart(consensus_state &State, store_id To,
                      follower_progress &Follower, const decision_input &Input,
                      consensus_effects &Effects) {
  if (!Follower.Snapshot) {
    Follower.Snapshot = State.Snapshot;
    Follower.SnapshotOffset = 0;
  }
  const log_snapshot &Image = *Follower.Snapshot;
  wire::snapshot_request Request;
  Request.term = toWire(State.Promises.Term);
  Request.leader = toWire(State.Self);
  Request.last_index = toWire(Image.Index);
  Request.last_term = toWire(Image.Term);
  Request.members = toWire(Image.Members);
  Request.offset = toWire(Follower.SnapshotOffset);
  Request.data = Image.Data.substr(Follower.SnapshotOffset,
                                   State.Limits.SnapshotPartBytes);
  Request.done =
      Follower.SnapshotOffset + Request.data.size() == Image.Data.size();
  Request.cluster = toWire(State.Promises.Cluster);
  Request.recipient = toWire(To);
  Follower.PendingRound = ++State.Round;
  Follower.PendingSince = Input.Now;
  Effects.Send.push_back({To, std::move(Request)});
}

void handleSnapshotRequest(consensus_state &State,
                           const wire::snapshot_request &Message,
                           const decision_input &Input,
                           consensus_effects &Effects) {
  store_id Leader = storeFromWire(Message.leader);
  wire::snapshot_reply Reply;
  Reply.follower = toWire(State.Self);
  Reply.last_index = Message.last_index;
  if (acceptLeader(State, fromWire(Message.term), Leader,
                   fromWire(Message.cluster), Input, Effects)) {
    std::uint64_t Index = fromWire(Message.last_index);
    snapshot_assembly &Parts = State.Assembly;
    if (Index > State.CommitIndex) {
      if (Parts.Index != Index || Message.offset == 0)
        Parts = {Index, fromWire(Message.last_term), ""};
      bool Fits = fromWire(Message.offset) == Parts.Data.size();
      if (Fits)
        Parts.Data += Message.data;
      if (Fits && Message.done)
        installAssembly(State, fromWire(Message.members), Effects);
      Reply.next_offset = toWire(Parts.Data.size());
    }
    Reply.installed = Index <= State.CommitIndex;
  }
  Reply.term = toWire(State.Promises.Term);
  Effects.Send.push_back({Leader, Reply});
}

void handleSnapshotReply(consensus_state &State,
                         const wire::snapshot_reply &Message,
                         const decision_input &Input,
                         consensus_effects &Effects) {
  store_id Store = storeFromWire(Message.follower);
  follower_progress *Answering =
      answeringFollower(State, Store, fromWire(Message.term), Input, Effects);
  if (Answering == nullptr)
    return;
  follower_progress &Follower = *Answering;
  Follower.LastHeard = Input.Now;
  if (!Follower.Snapshot ||
      Follower.Snapshot->Index != fromWire(Message.last_index))
    return;
  // A duplicate must not start a second stream of parts.
  if (!Message.installed &&
      fromWire(Message.next_offset) == Follower.SnapshotOffset)
    return;
  Follower.PendingRound = 0;
  if (Message.installed) {
    Follower.Match = std::max(Follower.Match, Follower.Snapshot->Index);
    Follower.Next = Follower.Match + 1;
    Follower.Snapshot = nullptr;
    advanceCommit(State, Input, Effects);
    return;
  }
  Follower.SnapshotOffset = std::min<std::uint64_t>(
      fromWire(Message.next_offset), Follower.Snapshot->Data.size());
  sendSnapshotPart(State, Store, Follower, Input, Effects);
}

} // namespace teasellock
