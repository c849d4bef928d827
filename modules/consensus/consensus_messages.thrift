namespace cpp teasellock.wire

// Messages and files of the control group's replicated log. Indexes, terms and
// ids are unsigned 64-bit numbers in signed fields. "Kind" is the message kind
// of the link's envelope.

/// A voting or non-voting member of the control group.
struct consensus_member {
  /// Random id of the data folder. A VM whose disk was wiped has a new one.
  1: i64 store;
  2: string vm;
  3: string address;
  4: bool voter;
  /// The leader makes it a voter once it has caught up.
  5: bool promote;
}

enum entry_kind {
  /// The first entry of a new leader's term, without effect. Committing it
  /// commits all entries before it.
  barrier = 0,
  /// A command of the replicated state machine.
  command = 1,
  /// The membership from this entry on.
  membership = 2,
}

struct log_entry {
  1: i64 index;
  2: i64 term;
  3: entry_kind kind;
  4: binary data;
  5: list<consensus_member> members;
}

/// The entries of one write to a log segment, with one checksum.
struct log_batch {
  1: list<log_entry> entries;
  /// The store's commit index when the entries were appended.
  2: i64 commit;
}

/// Term, vote and group of a store: the content of the file `vote`.
struct vote_record {
  1: i64 term;
  2: i64 vote;
  3: i64 cluster;
}

/// The state as of last_index: the content of a file `snapshot-<index>`.
struct snapshot_record {
  1: i64 last_index;
  2: i64 last_term;
  3: list<consensus_member> members;
  4: binary data;
}

/// Kind 200. A pre-vote request if `trial` is set: it asks whether the voter
/// would grant its vote in that term, and changes no state.
struct vote_request {
  1: i64 term;
  2: i64 candidate;
  3: i64 last_index;
  4: i64 last_term;
  5: bool trial;
  /// Random id of the control group, chosen when it was created.
  6: i64 cluster;
  /// The store that the request is for; another store at the same address, as
  /// after a wipe, ignores it.
  7: i64 recipient;
  /// Set in an election of which the pre-vote found that all voters have just
  /// started: the start of the recipient's process that replied then.
  8: optional i64 known_start;
}

/// Kind 201. The reply to a vote request. A reply that grants the vote has the
/// term of the request, another one the voter's current term.
struct vote_reply {
  1: i64 term;
  2: i64 voter;
  3: bool granted;
  4: bool trial;
  /// Set if the voter's process has followed no leader since its start: the
  /// random id of that start.
  5: optional i64 fresh_start;
  /// The wait after the voter's start is not over: the vote is granted, or
  /// would be in the election that follows this pre-vote, only on condition
  /// that all voters have just started.
  6: optional bool waits_after_start;
  /// The term of the request; set together with fresh_start.
  7: optional i64 asked_term;
}

/// Kind 202. Entries that follow the entry previous_index, or a heartbeat if
/// there are none.
struct append_request {
  1: i64 term;
  2: i64 leader;
  3: i64 previous_index;
  4: i64 previous_term;
  5: list<log_entry> entries;
  6: i64 commit;
  /// Number of the request, for the leader to match the reply.
  7: i64 round;
  8: i64 cluster;
  9: i64 recipient;
}

/// Kind 203. The reply to an append request, sent when its entries are durable.
struct append_reply {
  1: i64 term;
  2: i64 follower;
  3: bool success;
  /// Success: the last index that matches the leader's log. Failure: the index
  /// after which the leader should continue.
  4: i64 match_index;
  5: i64 round;
}

/// Kind 204. A chunk of a snapshot, which starts at byte `offset`.
struct snapshot_request {
  1: i64 term;
  2: i64 leader;
  3: i64 last_index;
  4: i64 last_term;
  5: list<consensus_member> members;
  6: i64 offset;
  7: binary data;
  8: bool done;
  9: i64 cluster;
  10: i64 recipient;
}

/// Kind 205. The reply to a snapshot chunk.
struct snapshot_reply {
  1: i64 term;
  2: i64 follower;
  3: i64 last_index;
  /// The offset of the next chunk to send.
  4: i64 next_offset;
  /// The follower has stored the complete snapshot durably.
  5: bool installed;
}
