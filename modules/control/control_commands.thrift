namespace cpp teasellock.wire

include "control_messages.thrift"

/// A VM in the replicated state.
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
  /// Budget epoch that its report must reach before its current share counts as
  /// confirmed.
  5: i64 epoch;
  /// It can acknowledge no writes in the current term.
  6: bool fenced;
  /// Revision that unassigned the group from it, 0 while it is assigned.
  7: i64 removed_at;
}

/// A change of primary in progress.
struct promotion_record {
  1: bool ordering;
  2: string reason;
  3: i64 fenced_term;
  4: string deposed;
  5: string wanted;
  6: bool forced;
  7: string chosen;
  8: control_messages.position chosen_position;
  /// Number of orders committed for this promotion.
  9: i32 attempt;
  /// The primary is replaced although it works.
  10: bool planned;
  /// An order of this promotion may have taken effect.
  11: bool may_have_led;
  /// The process that was chosen last, also after another choice has begun.
  12: i64 chosen_incarnation;
  /// That process has ended.
  13: bool has_lost_chosen;
  /// The process that was the primary.
  14: i64 deposed_incarnation;
  /// Revision of the first order, 0 if there was none.
  15: i64 first_ordered_at;
  16: string last_chosen;
}

/// An upstream incarnation that has left.
struct departed_upstream {
  1: string upstream;
  2: i64 incarnation;
  /// It was given up after a long silence and may still run.
  3: bool was_silent;
}

/// Orders to promote an upstream that may still take effect.
struct open_order {
  /// Empty: not known which.
  1: string upstream;
  2: i32 count;
}

/// The replicated state of a group.
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
  /// Upstream incarnations that have left permanently, oldest first.
  16: list<departed_upstream> departed;
  /// An order to promote an upstream may still be carried out. Read by earlier
  /// builds, and from their records.
  17: bool unsettled_orders;
  18: list<open_order> open_orders;
  /// Number of orders that were ever decided for the group.
  19: i64 order_number;
}

/// Replaces the whole table if its version is still the base version.
struct table_edit {
  1: string edit_id;
  2: i64 base_version;
  3: list<control_messages.table_row> rows;
}

/// The outcome of an edit, returned again when the edit is resent.
struct edit_record {
  1: string edit_id;
  2: bool accepted;
  3: i64 version;
  4: string winning_edit;
}

/// Takes effect if its version is higher than that in force.
struct deployment_change {
  1: control_messages.deployment content;
  2: list<control_messages.table_row> rows;
  /// The document it was read from, compressed; shown to operators.
  3: binary document;
}

/// A limiter slot: its holder, or the former holder that may still act.
struct limiter_slot {
  1: control_messages.limiter_holder holder;
  /// Empty: none.
  2: string former_vm;
  3: i64 former_incarnation;
  /// Revision that took the slot from the former holder.
  4: i64 removed_at;
}

/// The assignment of all limiter slots; empty while no organisation has a
/// limit.
struct limiter_record {
  1: i64 revision;
  2: list<limiter_slot> slots;
}

/// An entry of the replicated log. Exactly one field is set.
struct control_command {
  1: optional table_edit edit;
  2: optional vm_record vm;
  3: optional control_messages.announcement announcement;
  /// Takes effect if the group's revision is still that of the record.
  4: optional group_record group;
  5: optional deployment_change change;
  /// Takes effect if the assignment's revision is still that of the record.
  6: optional limiter_record limiters;
}

/// A snapshot of the whole replicated state.
struct control_snapshot {
  1: i64 applied;
  2: i64 table_version;
  3: string last_edit;
  4: list<vm_record> vms;
  5: list<group_record> groups;
  6: list<edit_record> edits;
  7: optional deployment_change in_force;
  8: i64 deployment_revision;
  9: optional limiter_record limiters;
}
