namespace cpp teasellock.wire

/// A position in an upstream's log; ordered by term, then by offset.
struct position {
  1: i64 term;
  2: i64 offset;
}

/// A row of the operators' table. Durations are in milliseconds.
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

/// What an upstream announces about itself through the platform.
struct announcement {
  1: string group;
  2: string upstream;
  3: string address;
  4: string availability_zone;
  5: string region;
  6: i32 slots;
  7: i32 connections;
  8: bool leaving;
  /// Distinguishes successive processes of the upstream and increases with each;
  /// 0 if unknown.
  9: i64 incarnation;
  /// It considers itself the primary.
  10: bool primary;
  /// It has left permanently.
  11: bool gone;
  /// It was given up after a long silence and announces itself again. Set by the
  /// leader for its log only.
  12: bool returned;
}

/// The writes that reads of a database are guaranteed to see.
enum consistency {
  /// Every acknowledged write.
  primary = 0,
  /// Every write acknowledged longer ago than a bound.
  bounded_staleness = 1,
  /// The same and the session's own writes.
  read_your_writes = 2,
}

/// A database name that callers connect to, and how its statements are served.
struct route {
  1: string name;
  2: string database;
  3: string group;
  4: consistency reads;
  5: i64 max_staleness_ms;
  6: i64 statement_ms;
  7: i64 target_ms;
  /// 0 is the highest priority.
  8: i32 priority;
  /// Callers need no key.
  9: bool is_public;
}

/// An organisation whose callers identify themselves by a key.
struct organisation {
  1: string name;
  /// Digests of its keys; the keys themselves are not sent to VMs.
  2: list<binary> key_digests;
  /// Operations a second that it may start on all VMs together, and how many
  /// beyond that at once. Absent: no limit.
  3: optional double rate_per_s;
  4: optional double burst;
  /// 0 is the highest priority.
  5: i32 priority;
}

/// The organisations of a version.
struct organisation_list {
  1: list<organisation> entries;
}

/// The routes and limits in force. The highest version wins.
struct deployment {
  1: i64 version;
  2: list<route> routes;
  3: i64 idle_transaction_ms;
  /// Absent: callers need no key.
  4: optional organisation_list organisations;
}

/// A part of a new version's routes: some of the version before, then others.
struct deployment_piece {
  /// Index of the first route that is copied, and how many are.
  1: i32 first;
  2: i32 count;
  3: list<route> added;
}

/// What leads from one version of a deployment to another.
struct deployment_patch {
  /// 0: the patch contains all routes.
  1: i64 base_version;
  2: i64 version;
  3: list<deployment_piece> pieces;
  4: i64 idle_transaction_ms;
  /// Set if the version has organisations that differ from those of the base.
  5: optional organisation_list organisations;
  /// The organisations are those of the base.
  6: bool keeps_organisations;
}

/// Patches that follow each other.
struct deployment_patches {
  1: list<deployment_patch> patches;
}

/// One gateway's share of a group.
struct gateway_share {
  1: string vm;
  2: i64 incarnation;
  3: string address;
  4: string availability_zone;
  5: string region;
  /// Connections that this gateway may hold to each upstream.
  6: i32 connections;
  /// Statements that this gateway may execute at once on each upstream.
  7: i32 slots;
  /// Number of the last decision that changed the group's shares.
  8: i64 budget_epoch;
}

/// The part of a group's replicated state that every VM receives.
struct group_view {
  1: string group;
  2: i64 revision;
  3: table_row row;
  4: i64 term;
  /// Empty while no primary may be written to.
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
  /// Age of the probe when the report was sent.
  5: i64 age_ms;
  /// How long it has been unreachable, 0 while it is reachable.
  6: i64 unreachable_ms;
  /// Why the probe failed; empty if it succeeded.
  7: string problem;
  /// The upstream refused or reset connections, so it is known to be down rather
  /// than silent.
  8: bool refused;
  /// Replication to the replica is paused until it is promoted or resumed;
  /// `received` was read after that.
  9: bool paused;
  /// Highest position in its log, replayed or not.
  10: position received;
  /// Age of the connection that the probe used.
  11: i64 connection_age_ms;
}

/// A gateway's report on a group that is assigned to it.
struct group_report {
  1: string group;
  2: i64 term;
  /// Highest position that this gateway incarnation has acknowledged.
  3: position acknowledged;
  /// Budget epoch of the share that it now keeps to; what it held beyond that
  /// share is free.
  4: i64 budget_epoch;
  5: list<upstream_report> upstreams;
}

/// The VM process that counts the operations of a slot's organisations.
struct limiter_holder {
  /// Empty: the slot has no holder.
  1: string vm;
  2: i64 incarnation;
  3: string address;
}

/// The holders of all slots. Without slots, no organisation has a limit.
struct limiter_assignment {
  1: i64 revision;
  2: list<limiter_holder> slots;
}

/// A VM's heartbeat to the control leader. Kind 100.
struct renewal {
  1: string vm;
  2: i64 incarnation;
  3: string address;
  4: string availability_zone;
  5: string region;
  6: i64 applied_revision;
  /// In microseconds of the VM's own clock; returned in the reply.
  7: i64 sent_at_us;
  8: bool draining;
  9: list<group_report> groups;
  10: list<announcement> announcements;
  /// Revision and name of the last group of the last reply, while more changes
  /// follow.
  11: i64 after_revision;
  12: string after_group;
  /// Version of the deployment that the VM has applied.
  13: i64 deployment_version;
  /// Identity of its control store, 0 without the control role.
  14: i64 control_store;
  /// Whether groups may be assigned to it.
  15: bool gateway = true;
  /// The VM reads deployment_patches in the reply.
  16: bool accepts_patches;
  /// The VM reads views_pending in the reply.
  17: bool accepts_pending_views;
  /// The VM applies view_push, and reads base_revision in the reply.
  18: bool accepts_pushes;
  /// Revision of the assignment of limiters that the VM has applied. Set once
  /// it has applied one.
  19: optional i64 limiter_revision;
}

/// Reply to a renewal. Kind 101.
struct renewal_reply {
  /// False if the sender is not the leader or the incarnation is refused.
  1: bool granted;
  2: i64 sent_at_us;
  3: i64 lease_ms;
  /// The leader's address, if it is known and another VM.
  4: string leader_address;
  /// Groups changed since the renewal's applied revision, oldest first.
  5: list<group_view> groups;
  /// The revision up to which the VM has all changes once these are applied.
  6: i64 revision;
  /// More changes follow after this reply.
  7: bool more;
  /// The VM is draining and all its groups have been handed over.
  8: bool released;
  /// Set if the VM has an older version and does not accept patches.
  9: optional deployment newer_deployment;
  /// Internal addresses of the control VMs.
  10: list<string> control;
  /// Set if the VM has an older version: deployment_patches in the compact
  /// protocol, compressed. The first is based on the VM's version or contains
  /// all routes.
  11: optional binary deployment_patches;
  /// The groups and the lease are in an earlier reply on this link, which the VM
  /// had not received when it sent the renewal.
  12: bool views_pending;
  /// The reply is of use only if the VM has all changes up to this revision.
  13: i64 base_revision;
  /// Set if the VM has applied an older revision of it.
  14: optional limiter_assignment limiters;
  /// The VM's limiter lease; absent or 0: none.
  15: optional i64 limiter_lease_ms;
}

/// Views that have changed, sent without a renewal. Kind 110; the message is
/// this struct, compressed.
struct view_push {
  /// The push is of use only if the VM has all changes up to this revision.
  1: i64 base_revision;
  /// The revision up to which the VM has all changes then.
  2: i64 revision;
  /// Groups changed in between, oldest first.
  3: list<group_view> groups;
}

/// Asks a gateway to stop acknowledging in a term. Kind 102.
struct fence {
  1: string group;
  2: i64 term;
  /// If not 0, replicas are paused under this term before they are probed.
  3: i64 pause_term;
  /// If not empty, this primary is first demoted under the same term, and then
  /// paused like the replicas.
  4: string demoted;
  /// Revision of the group's state without a primary that the fence belongs to.
  /// 0: not known, sent by an earlier build.
  5: i64 revision;
}

/// Reply to a fence: the gateway acknowledges no more writes of that term. Kind
/// 103.
struct fence_reply {
  1: string group;
  2: i64 term;
  3: position acknowledged;
  /// Probes made after the fence took effect.
  4: list<upstream_report> upstreams;
}

/// Asks a gateway to promote an upstream. Idempotent. Kind 104.
struct promote {
  1: string group;
  2: string upstream;
  3: i64 term;
}

/// Reply to a promote order: its outcome. Kind 105.
struct promote_reply {
  1: string group;
  2: string upstream;
  3: i64 term;
  4: bool done;
  5: string problem;
  /// The position after the first record of the term.
  6: position reached;
}

/// An operator's HTTP request with its JSON body, forwarded to the leader. Kind
/// 106.
struct operator_request {
  1: string method;
  2: string path;
  3: string body;
}

/// Reply to an operator's request. Kind 107.
struct operator_reply {
  1: i32 status;
  2: string body;
}

/// Asks a VM to send its next renewal at once, because something has changed for
/// it. Kind 108.
struct nudge {
  1: i64 revision;
}

/// Asks a gateway to resume replication to paused replicas. Kind 109.
struct resume {
  1: string group;
}
