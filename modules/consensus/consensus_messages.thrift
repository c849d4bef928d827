namespace cpp teasellock.wire

/// A voting or non-voting member of the control group.
struct consensus_member {
  /// Random id of the data folder. A wiped VM has a new one.
  1: i64 store;
  2: string vm;
  3: string address;
  4: bool voter;
  /// The leader makes it a voter once it has caught up.
  5: bool promote;
}

enum entry_kind {
  /// Written by a new leader in its own term; changes nothing.
  barrier = 0,
  /// A command of the state machine above.
  command = 1,
  /// The membership from here on.
  membership = 2,
}

struct log_entry {
  1: i64 index;
  2: i64 term;
  3: entry_kind kind;
  4: binary data;
  5: list<consensus_member> members;
}

/// What one write to the log makes durable, under one checksum.
struct log_batch {
  1: list<log_entry> entries;
  /// What the store knew to be committed before these entries.
  2: i64 commit;
}

/// The promises of a store: the file `vote`.
struct vote_record {
  1: i64 term;
  2: i64 vote;
  3: i64 cluster;
}

/// The state as of last_index: a file `snapshot-<index>`.
struct snapshot_record {
  1: i64 last_index;
  2: i64 last_term;
  3: list<consensus_member> members;
  4: binary data;
}

/// Kind 200. Pre-vote when `trial`.
struct vote_request {
  1: i64 term;
  2: i64 candidate;
  3: i64 last_index;
  4: i64 last_term;
  5: bool trial;
  /// Random id of the control group, chosen when it was founded.
  6: i64 cluster;
  /// The store asked; another store at the same address ignores it.
  7: i64 recipient;
}

/// Kind 201.
struct vote_reply {
  1: i64 term;
  2: i64 voter;
  3: bool granted;
  4: bool trial;
}

/// Kind 202.
struct append_request {
  1: i64 term;
  2: i64 leader;
  3: i64 previous_index;
  4: i64 previous_term;
  5: list<log_entry> entries;
  6: i64 commit;
  7: i64 round;
  8: i64 cluster;
  9: i64 recipient;
}

/// Kind 203.
struct append_reply {
  1: i64 term;
  2: i64 follower;
  3: bool success;
  /// Success: last index stored. Failure: where to go on from.
  4: i64 match_index;
  5: i64 round;
}

/// Kind 204. A part of a snapshot.
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

/// Kind 205.
struct snapshot_reply {
  1: i64 term;
  2: i64 follower;
  3: i64 last_index;
  /// The offset of the part wanted next.
  4: i64 next_offset;
  /// The follower holds the whole snapshot, durably.
  5: bool installed;
}
