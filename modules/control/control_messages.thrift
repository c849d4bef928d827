namespace cpp teasellock.wire

struct position {
  1: i64 term;
  2: i64 offset;
}

/// A row of the operators' table. Spans are in milliseconds.
struct table_row {
  1: string group;
  2: bool automatic;
  3: i32 ack_replicas;
  4: i32 gateways;
  5: map<string, double> weights;
  6: i32 max_connections;
  7: i32 max_slots;
  8: i32 queue_limit;
  9: i64 queue_ms;
  10: i64 catchup_ms;
  11: i64 failure_ms;
  12: i64 silence_ms;
  13: map<string, i64> read_age_ms;
}

/// What an upstream says of itself through the platform's call.
struct announcement {
  1: string group;
  2: string upstream;
  3: string address;
  4: string availability_zone;
  5: string region;
  6: i32 slots;
  7: i32 connections;
  8: bool leaving;
  /// Tells two runs of the upstream's process apart; grows. 0: not told.
  9: i64 incarnation;
  /// It takes itself for the primary.
  10: bool primary;
  /// It has left for good.
  11: bool gone;
}

/// What the reads of a database may see.
enum consistency {
  /// Every acknowledged write.
  primary = 0,
  /// Every write acknowledged longer ago than a bound.
  bounded_staleness = 1,
  /// Besides, the session's own writes.
  read_your_writes = 2,
}

/// A database name that callers connect to and how its statements are served.
struct route {
  1: string name;
  2: string database;
  3: string group;
  4: consistency reads;
  5: i64 max_staleness_ms;
  6: i64 statement_ms;
  7: i64 target_ms;
  /// 0 is the most important.
  8: i32 priority;
}

/// The routes and limits that are in force. The highest version wins.
struct deployment {
  1: i64 version;
  2: list<route> routes;
  3: i64 idle_transaction_ms;
}

/// One gateway's share of a group.
struct gateway_share {
  1: string vm;
  2: i64 incarnation;
  3: string address;
  4: string availability_zone;
  5: string region;
  /// Connections this gateway may hold to each upstream.
  6: i32 connections;
  /// Statements this gateway may run at once on each upstream.
  7: i32 slots;
  /// Grows with each decision on the group's shares.
  8: i64 budget_epoch;
}

/// What every VM knows of a group.
struct group_view {
  1: string group;
  2: i64 revision;
  3: table_row row;
  4: i64 term;
  /// Empty while there is no primary that may be written to.
  5: string primary;
  6: list<announcement> upstreams;
  7: list<gateway_share> gateways;
  /// Highest position known to be acknowledged.
  8: position watermark;
  9: bool removed;
}

/// A gateway's latest probe of an upstream.
struct upstream_report {
  1: string upstream;
  2: bool reachable;
  3: bool replica;
  4: position replayed;
  /// Age of this observation when it was sent.
  5: i64 age_ms;
  /// How long it has been unreachable, 0 when it is reachable.
  6: i64 unreachable_ms;
  /// Empty, or why the probe failed.
  7: string problem;
  /// Whether the primary has refused or reset connections, so that it is
  /// known to be down rather than silent.
  8: bool refused;
  /// The replica receives nothing until it is promoted or resumed, and
  /// `received` was taken after that.
  9: bool paused;
  /// Highest position in its log, applied or not.
  10: position received;
  /// Age of the connection that this was heard on.
  11: i64 connection_age_ms;
}

/// A gateway's report on a group that is assigned to it.
struct group_report {
  1: string group;
  2: i64 term;
  /// Highest position this incarnation has acknowledged.
  3: position acknowledged;
  /// The share it now keeps to; frees what is above it.
  4: i64 budget_epoch;
  5: list<upstream_report> upstreams;
}

/// A VM's heartbeat to the control leader. Kind 100.
struct renewal {
  1: string vm;
  2: i64 incarnation;
  3: string address;
  4: string availability_zone;
  5: string region;
  6: i64 applied_revision;
  /// The VM's own clock, echoed in the answer.
  7: i64 sent_at_us;
  8: bool draining;
  9: list<group_report> groups;
  10: list<announcement> announcements;
  /// The last group of the last answer, while more follow beyond it.
  11: i64 after_revision;
  12: string after_group;
  /// Version of the deployment that the VM applies.
  13: i64 deployment_version;
  /// Identity of its control store, 0 without the control role.
  14: i64 control_store;
  /// Whether groups may be assigned to it.
  15: bool gateway = true;
}

/// Answer to a renewal. Kind 101.
struct renewal_reply {
  /// False: not the leader, or the incarnation is not accepted.
  1: bool granted;
  2: i64 sent_at_us;
  3: i64 lease_ms;
  /// Where the leader is, when known and not this VM.
  4: string leader_address;
  /// Groups changed since the renewal's applied revision, oldest first.
  5: list<group_view> groups;
  /// The revision up to which all changes are known once these are applied.
  6: i64 revision;
  /// Whether more changes follow beyond this answer.
  7: bool more;
  /// Drain: all groups of this VM have been handed to others.
  8: bool released;
  /// Set when the VM has an older version.
  9: optional deployment newer_deployment;
  /// Internal addresses of the control VMs.
  10: list<string> control;
}

/// Asks a gateway to stop acknowledging in a term. Kind 102.
struct fence {
  1: string group;
  2: i64 term;
  /// Not 0: replicas are to be paused under this term before they are read.
  3: i64 pause_term;
}

/// The gateway acknowledges nothing of that term any more. Kind 103.
struct fence_reply {
  1: string group;
  2: i64 term;
  3: position acknowledged;
  /// Positions probed after the fence took hold.
  4: list<upstream_report> upstreams;
}

/// Asks a gateway to promote an upstream. Idempotent. Kind 104.
struct promote {
  1: string group;
  2: string upstream;
  3: i64 term;
}

/// How the promotion ended. Kind 105.
struct promote_reply {
  1: string group;
  2: string upstream;
  3: i64 term;
  4: bool done;
  5: string problem;
  /// Position after the first record of the term was written.
  6: position reached;
}

/// An operator's request forwarded to the leader as the HTTP API's JSON.
/// Kind 106.
struct operator_request {
  1: string method;
  2: string path;
  3: string body;
}

/// Its answer. Kind 107.
struct operator_reply {
  1: i32 status;
  2: string body;
}

/// Hurries the receiver's next renewal: something changed for it. Kind 108.
struct nudge {
  1: i64 revision;
}

/// Asks a gateway to let paused replicas receive again. Kind 109.
struct resume {
  1: string group;
}
