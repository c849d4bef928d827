namespace cpp teasellock.wire

include "control_messages.thrift"

/// A VM as the replicated state knows it.
struct vm_record {
  1: string vm;
  2: i64 incarnation;
  3: string address;
  4: string availability_zone;
  5: string region;
  6: bool draining;
  7: bool gateway = true;
}

/// A gateway incarnation that may still acknowledge writes or hold
/// connections.
struct share_holder {
  1: string vm;
  2: i64 incarnation;
  3: i32 connections;
  4: i32 slots;
  /// Decision that its report must have reached for its share to count as
  /// shrunk.
  5: i64 epoch;
  /// Whether it can acknowledge nothing of the present term.
  6: bool fenced;
  /// Revision that took the group from it, 0 while it is assigned.
  7: i64 removed_at;
}

struct promotion_record {
  1: bool ordering;
  2: string reason;
  3: i64 fenced_term;
  4: string deposed;
  5: string wanted;
  6: bool forced;
  7: string chosen;
  8: control_messages.position chosen_position;
  /// Counts the orders that were written for this promotion.
  9: i32 attempt;
}

/// An upstream incarnation that left for good.
struct departed_upstream {
  1: string upstream;
  2: i64 incarnation;
}

struct group_record {
  1: string group;
  2: i64 revision;
  3: control_messages.table_row row;
  4: i64 term;
  5: string primary;
  6: list<control_messages.announcement> upstreams;
  7: list<control_messages.gateway_share> gateways;
  8: list<share_holder> holders;
  9: control_messages.position watermark;
  10: bool dirty;
  11: i64 dirty_since;
  12: i32 least_ack_replicas;
  13: i64 budget_epoch;
  14: optional promotion_record promotion;
  15: bool removed;
  /// Upstream incarnations that left for good, latest last.
  16: list<departed_upstream> departed;
}

/// Replaces the whole table if it still has the base version.
struct table_edit {
  1: string edit_id;
  2: i64 base_version;
  3: list<control_messages.table_row> rows;
}

/// The first answer to an edit.
struct edit_record {
  1: string edit_id;
  2: bool accepted;
  3: i64 version;
  4: string winning_edit;
}

/// Takes effect if its version is the highest.
struct deployment_change {
  1: control_messages.deployment content;
  2: list<control_messages.table_row> rows;
  /// The text it was read from, compressed, as it is shown to operators.
  3: binary document;
}

/// An entry of the replicated log. One field is set.
struct control_command {
  1: optional table_edit edit;
  2: optional vm_record vm;
  3: optional control_messages.announcement announcement;
  /// Takes effect if the group still has the record's revision.
  4: optional group_record group;
  5: optional deployment_change change;
}

/// The whole replicated state.
struct control_snapshot {
  1: i64 applied;
  2: i64 table_version;
  3: string last_edit;
  4: list<vm_record> vms;
  5: list<group_record> groups;
  6: list<edit_record> edits;
  7: optional deployment_change in_force;
  8: i64 deployment_revision;
}
