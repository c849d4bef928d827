#include "modules/consensus/consensus_internal.h"

#include "modules/consensus/wire_members.h"

#include <algorithm>

namespace teasellock {

void installReceivedSnapshot(consensus_state &State, member_list Members,
                             consensus_effects &Effects) {
  auto Snapshot = std::make_shared<log_snapshot>();
  Snapshot->Index = State.IncomingSnapshot.Index;
  Snapshot->Term = State.IncomingSnapshot.Term;
  Snapshot->Members = std::move(Members);
  Snapshot->Data = State.IncomingSnapshot.Data;
  bool KeepsLog = State.Log.hasTermAt(Snapshot->Index) &&
                  State.Log.termAt(Snapshot->Index) == Snapshot->Term;
  if (KeepsLog) {
    State.Log.advanceBase(Snapshot->Index);
    std::erase_if(State.Memberships, [&](const membership_record &Record) {
      return Record.Index <= Snapshot->Index;
    });
  } else {
    State.Log.reset(Snapshot->Index, Snapshot->Term);
    State.SyncedIndex = Snapshot->Index;
    State.Memberships.clear();
  }
  State.Memberships.insert(State.Memberships.begin(),
                           {Snapshot->Index, Snapshot->Members});
  State.CommitIndex = Snapshot->Index;
  State.Snapshot = Snapshot;
  Effects.Disk.push_back(install_snapshot{Snapshot, !KeepsLog});
}

void sendSnapshotChunk(consensus_state &State, store_id To,
                       follower_progress &Follower,
                       const consensus_input &Input,
                       consensus_effects &Effects) {
  if (!Follower.Snapshot) {
    Follower.Snapshot = State.Snapshot;
    Follower.SnapshotOffset = 0;
  }
  const log_snapshot &Snapshot = *Follower.Snapshot;
  wire::snapshot_request Request;
  Request.term = toWire(State.HardState.Term);
  Request.leader = toWire(State.Self);
  Request.last_index = toWire(Snapshot.Index);
  Request.last_term = toWire(Snapshot.Term);
  Request.members = toWire(Snapshot.Members);
  Request.offset = toWire(Follower.SnapshotOffset);
  Request.data = Snapshot.Data.substr(Follower.SnapshotOffset,
                                      State.Limits.SnapshotChunkBytes);
  Request.done =
      Follower.SnapshotOffset + Request.data.size() == Snapshot.Data.size();
  Request.cluster = toWire(State.HardState.Cluster);
  Request.recipient = toWire(To);
  Follower.PendingRound = ++State.Round;
  Follower.PendingSentAt = Input.Now;
  Effects.Send.push_back({To, std::move(Request)});
}

void handleSnapshotRequest(consensus_state &State,
                           const wire::snapshot_request &Message,
                           const consensus_input &Input,
                           consensus_effects &Effects) {
  store_id Leader = storeFromWire(Message.leader);
  wire::snapshot_reply Reply;
  Reply.follower = toWire(State.Self);
  Reply.last_index = Message.last_index;
  if (acceptLeader(State, fromWire(Message.term), Leader,
                   fromWire(Message.cluster), Input, Effects)) {
    std::uint64_t Index = fromWire(Message.last_index);
    incoming_snapshot &Incoming = State.IncomingSnapshot;
    if (Index > State.CommitIndex) {
      if (Incoming.Index != Index || Message.offset == 0)
        Incoming = {Index, fromWire(Message.last_term), ""};
      bool IsNextChunk = fromWire(Message.offset) == Incoming.Data.size();
      if (IsNextChunk)
        Incoming.Data += Message.data;
      if (IsNextChunk && Message.done)
        installReceivedSnapshot(State, fromWire(Message.members), Effects);
      Reply.next_offset = toWire(Incoming.Data.size());
    }
    Reply.installed = Index <= State.CommitIndex;
  }
  Reply.term = toWire(State.HardState.Term);
  Effects.Send.push_back({Leader, Reply});
}

void handleSnapshotReply(consensus_state &State,
                         const wire::snapshot_reply &Message,
                         const consensus_input &Input,
                         consensus_effects &Effects) {
  store_id Store = storeFromWire(Message.follower);
  follower_progress *Replying = findReplyingFollower(
      State, Store, fromWire(Message.term), Input, Effects);
  if (Replying == nullptr)
    return;
  follower_progress &Follower = *Replying;
  Follower.LastReceivedAt = Input.Now;
  if (!Follower.Snapshot ||
      Follower.Snapshot->Index != fromWire(Message.last_index))
    return;
  // A duplicate must not start a second stream of chunks.
  if (!Message.installed &&
      fromWire(Message.next_offset) == Follower.SnapshotOffset)
    return;
  Follower.PendingRound = 0;
  if (Message.installed) {
    Follower.MatchIndex =
        std::max(Follower.MatchIndex, Follower.Snapshot->Index);
    Follower.NextIndex = Follower.MatchIndex + 1;
    Follower.Snapshot = nullptr;
    advanceCommitIndex(State, Input, Effects);
    return;
  }
  Follower.SnapshotOffset = std::min<std::uint64_t>(
      fromWire(Message.next_offset), Follower.Snapshot->Data.size());
  sendSnapshotChunk(State, Store, Follower, Input, Effects);
}

} // namespace teasellock
