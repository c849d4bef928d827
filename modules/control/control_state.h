/// The replicated state of control and the commands that change it. Every
/// member of the control group applies the same commands in the same order.
#pragma once

#include "modules/control/gen/control_commands_types.h"
#include "modules/control/group_view.h"
#include "modules/deployment/deployment.h"
#include "modules/limits/limiter_view.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// A VM that has sent at least one renewal.
struct vm_record {
  vm_id Vm;
  incarnation Incarnation;
  endpoint Address;
  availability_zone_id AvailabilityZone;
  region_id Region;
  /// Its groups are moved to other VMs and no new ones are assigned to it.
  bool Draining = false;
  /// Groups may be assigned to it.
  bool Gateway = true;

  bool operator==(const vm_record &) const = default;
};

/// A gateway incarnation that may still acknowledge writes in the group's term
/// or hold connections to its upstreams.
struct share_holder {
  vm_id Vm;
  incarnation Incarnation;
  /// Upper bound of what it may hold until it reports a budget epoch of at
  /// least Epoch.
  std::uint32_t Connections = 0;
  std::uint32_t Slots = 0;
  /// Budget epoch that its report must reach before its current share counts as
  /// confirmed.
  std::uint64_t Epoch = 0;
  /// It can acknowledge no writes in the current term.
  bool Fenced = false;
  /// The revision that unassigned the group from it; zero while it is assigned.
  revision RemovedAt;

  bool operator==(const share_holder &) const = default;
};

/// Placeholder in a proposed group state for the revision of the command that
/// carries it; replaced when the command is applied.
constexpr std::uint64_t CommandRevision = ~std::uint64_t(0) >> 1;

enum class promotion_phase {
  /// Gateways are asked to stop acknowledging, or replicas are paused;
  /// positions are collected.
  Fencing,
  /// A candidate is chosen and ordered to become primary.
  Ordering,
};

/// A change of primary in progress.
struct promotion_state {
  promotion_phase Phase = promotion_phase::Fencing;
  std::string Reason;
  /// The last term in which writes may have been acknowledged.
  term FencedTerm;
  /// The primary of that term, and its process.
  std::optional<upstream_id> Deposed;
  incarnation DeposedIncarnation;
  /// That primary works and is to be demoted before it is replaced.
  bool Planned = false;
  /// The upstream that an operator requested.
  std::optional<upstream_id> Requested;
  /// The operator accepts the loss of acknowledged writes.
  bool Forced = false;
  /// The candidate, and the position that it answered; set during the phase
  /// Ordering.
  std::optional<upstream_id> Chosen;
  position ChosenPosition;
  /// The last candidate and its process, also while another one is sought.
  std::optional<upstream_id> LastChosen;
  incarnation ChosenIncarnation;
  /// The revision that decided the first order; zero before.
  revision FirstOrderedAt;
  /// An order of this promotion may have taken effect, so that an upstream may
  /// have led since and Deposed may have followed it. Ends with the promotion.
  bool MayHaveLed = false;
  /// A process that was chosen has ended. It may have been the only replica
  /// to confirm a write of FencedTerm, which only Deposed then has. Ends with
  /// the promotion.
  bool HasLostChosen = false;
  /// Number of orders committed for this promotion. Each is a log entry of its
  /// own, whose index is the order's fencing token.
  std::uint32_t Attempt = 0;

  bool operator==(const promotion_state &) const = default;
};

/// An upstream incarnation that has left.
struct departed_upstream {
  upstream_id Upstream;
  incarnation Incarnation;
  /// It was given up after a long silence and may still run.
  bool WasSilent = false;

  bool operator==(const departed_upstream &) const = default;
};

/// Departed incarnations remembered per group, so that a late announcement does
/// not add one again.
constexpr std::size_t MaxRememberedDepartures = 32;

/// The replicated state of one group.
struct group_state {
  group_id Group;
  /// Index of the entry that last changed this group.
  revision Revision;
  table_row Row;
  term Term;
  /// Empty before the first primary is known and during a promotion.
  std::optional<upstream_id> Primary;
  std::map<upstream_id, upstream_announcement> Upstreams;
  /// The assigned gateways.
  std::vector<gateway_share> Gateways;
  /// The assigned gateways and the former ones that have not released the group
  /// yet.
  std::vector<share_holder> Holders;
  /// Highest position known to be acknowledged. With promotion_method::Pause,
  /// it is raised with each change of the group; a promotion sets it to the
  /// position at which the new term began.
  position Watermark;
  /// An acknowledged write may be unaccounted for: a gateway incarnation ended
  /// without reporting what it acknowledged, or a replica left that may have
  /// been the only one to hold a write. Ends when a replica has reached a later
  /// position of the primary.
  bool Dirty = false;
  /// The revision that last made the group dirty.
  revision DirtySince;
  /// Number of orders to the platform that were ever decided for this group.
  /// Identifies an order beyond a change of leader.
  std::uint64_t OrderNumber = 0;
  /// How many orders for each upstream may still take effect; empty if none. An
  /// order ends when its upstream leads a new term or has left, when the
  /// platform refuses it, and when a later one was answered long enough ago
  /// (see open_orders.h).
  std::map<upstream_id, std::uint32_t> OpenOrders;
  /// The smallest AckReplicas in effect during this term.
  std::uint32_t MinAckReplicas = 0;
  std::uint64_t BudgetEpoch = 0;
  std::optional<promotion_state> Promotion;
  /// The table has no row for it.
  bool Removed = true;
  /// The latest departures, oldest first.
  std::deque<departed_upstream> Departed;

  bool operator==(const group_state &) const = default;
};

/// The outcome of an edit of the table, returned again when the edit is resent.
struct edit_outcome {
  edit_id Edit;
  bool Accepted = false;
  /// The table's version after the edit was applied or rejected.
  table_version Version;
  /// The edit that created this version.
  edit_id WinningEdit;

  bool operator==(const edit_outcome &) const = default;
};

/// Edits remembered so that a resent one gets the same outcome.
constexpr std::size_t MaxRememberedEdits = 10000;

/// Values derived from all groups, so that a renewal does not iterate over
/// them.
struct group_index {
  /// The highest revision of any group and of the deployment.
  revision LatestRevision;
  /// The groups that are dirty.
  std::vector<group_id> DirtyGroups;
  /// Number of groups assigned to each VM.
  std::map<vm_id, std::size_t> GroupCounts;
  /// Of the groups assigned to each VM, the last by name.
  std::map<vm_id, group_id> LastGroups;
  /// Number of groups that are not removed.
  std::size_t ServedGroupCount = 0;
  /// Number of VMs to which groups may be assigned.
  std::size_t GatewayVmCount = 0;
  /// Number of availability zones with such VMs.
  std::size_t ZoneCount = 0;

  bool operator==(const group_index &) const = default;
};

/// The deployment in force and the document it was read from.
struct deployment_record {
  deployment Deployment;
  /// The document as submitted, compressed; shown to operators.
  std::string Document;
  /// Index of the entry that set it.
  revision Revision;

  bool operator==(const deployment_record &) const = default;
};

/// A VM process that held a limiter slot and may still act on it.
struct former_limiter {
  vm_id Vm;
  incarnation Incarnation;
  /// The revision that took the slot from it.
  revision RemovedAt;

  bool operator==(const former_limiter &) const = default;
};

/// A limiter slot has a holder, or a former holder that must have released it
/// before it is assigned again, or neither.
struct limiter_slot {
  std::optional<limiter_holder> Holder;
  std::optional<former_limiter> Former;

  bool operator==(const limiter_slot &) const = default;
};

/// Which VM counts the operations of which organisations.
struct limiter_assignment {
  /// Index of the entry that last changed it; zero while it is empty.
  revision Revision;
  /// LimiterSlotCount entries; empty while no organisation has a limit and none
  /// of the former holders may still act.
  std::vector<limiter_slot> Slots;

  bool operator==(const limiter_assignment &) const = default;
};

/// The state that results from applying the replicated log.
struct control_state {
  /// Index of the last applied entry.
  revision AppliedRevision;
  group_index Index;
  table_version TableVersion;
  edit_id LastEdit;
  std::map<vm_id, vm_record> Vms;
  std::map<group_id, group_state> Groups;
  std::deque<edit_outcome> EditOutcomes;
  deployment_record Deployment;
  limiter_assignment Limiters;

  bool operator==(const control_state &) const = default;
};

/// Remembers an upstream incarnation that has left. WasSilent: it was given up
/// after a long silence and may still run.
void rememberDeparture(group_state &Group,
                       const upstream_announcement &Departed, bool WasSilent);

/// Derives the index from the groups and VMs.
group_index buildGroupIndex(const control_state &State);

/// Applies one committed command and updates the index. Throws error if the
/// command is malformed.
void applyCommand(control_state &State, revision Index,
                  const wire::control_command &Command);

/// Replaces the table's rows if the table still has the version Base.
wire::control_command makeEditCommand(const edit_id &Edit, table_version Base,
                                      const std::vector<table_row> &Rows);
wire::control_command makeVmCommand(const vm_record &Vm);
wire::control_command
makeAnnouncementCommand(const upstream_announcement &Announcement,
                        bool HasReturned = false);

/// Reports whether an announcement is outdated only because its incarnation was
/// given up after a long silence.
bool mayReturn(const group_state &Group,
               const upstream_announcement &Announcement);
/// Puts a deployment in force unless its version or a higher one already is.
wire::control_command
makeDeploymentCommand(const deployment_proposal &Proposal);
/// Replaces a group's state by Next if its revision is still Next.Revision.
wire::control_command makeGroupCommand(const group_state &Next);

/// Replaces the assignment of limiters by Next if its revision is still
/// Next.Revision. Without slots, the assignment becomes empty.
wire::control_command makeLimiterCommand(const limiter_assignment &Next);

/// Reports whether an announcement comes from an incarnation of the upstream
/// that has been replaced by a later one or has left.
bool isOutdated(const group_state &Group,
                const upstream_announcement &Announcement);

/// Returns the view of the group that is sent to VMs.
group_view viewOf(const group_state &Group);

/// Returns the outcome of an edit, or null if it is unknown.
const edit_outcome *findEditOutcome(const control_state &State,
                                    const edit_id &Edit);

/// Returns the rows of the table, ordered by group.
std::vector<table_row> tableRows(const control_state &State);

/// Returns a VM's share of the group, or null if the group is not assigned to
/// it.
const gateway_share *findShare(const group_state &Group, const vm_id &Vm);

/// Returns the holder entry of a gateway incarnation, or null.
const share_holder *findHolder(const group_state &Group, const vm_id &Vm,
                               incarnation Incarnation);

std::string encodeSnapshot(const control_state &State);
/// Throws error if the text is not a valid snapshot.
control_state decodeSnapshot(const std::string &Text);

} // namespace teasellock
