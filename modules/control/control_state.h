/// The replicated state of control and the commands that change it. Every
/// member of the control group applies the same commands in the same order.
#pragma once

#include "modules/control/gen/control_commands_types.h"
#include "modules/control/group_view.h"
#include "modules/deployment/deployment.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// A VM that has renewed a lease at least once.
struct vm_record {
  vm_id Vm;
  incarnation Incarnation;
  endpoint Address;
  availability_zone_id AvailabilityZone;
  region_id Region;
  /// It takes no new assignments and loses those it has.
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
  /// The most it may hold until its report reaches Epoch.
  std::uint32_t Connections = 0;
  std::uint32_t Slots = 0;
  /// The decision that gave it its present share.
  std::uint64_t Epoch = 0;
  /// It can acknowledge nothing in the present term.
  bool Fenced = false;
  /// The revision that took the group from it; zero while it is assigned.
  revision RemovedAt;

  bool operator==(const share_holder &) const = default;
};

/// Stands for "the revision of the command that carries this value".
constexpr std::uint64_t ThisRevision = ~std::uint64_t(0) >> 1;

enum class promotion_phase {
  /// Gateways are asked to stop; positions are collected.
  Fencing,
  /// A candidate is decided and ordered to become primary.
  Ordering,
};

/// A change of primary under way.
struct promotion_state {
  promotion_phase Phase = promotion_phase::Fencing;
  std::string Reason;
  /// The last term in which writes may have been acknowledged.
  term FencedTerm;
  /// The primary of that term.
  std::optional<upstream_id> Deposed;
  /// The upstream an operator asked for.
  std::optional<upstream_id> Wanted;
  /// The operator accepts the loss of acknowledged writes.
  bool Forced = false;
  /// Set while ordering.
  std::optional<upstream_id> Chosen;
  position ChosenPosition;
  /// Counts the orders written for this promotion. Each is a log entry of its
  /// own, whose index is the order's fencing token.
  std::uint32_t Attempt = 0;

  bool operator==(const promotion_state &) const = default;
};

/// An upstream incarnation that left for good.
struct departed_upstream {
  upstream_id Upstream;
  incarnation Incarnation;

  bool operator==(const departed_upstream &) const = default;
};

/// Departed incarnations remembered for each group, so that a late
/// announcement does not bring one back.
constexpr std::size_t RememberedDepartures = 32;

/// Everything that is agreed on one group.
struct group_state {
  group_id Group;
  /// Index of the entry that last changed this group.
  revision Revision;
  table_row Row;
  term Term;
  /// Nothing before the first primary is known and during a promotion.
  std::optional<upstream_id> Primary;
  std::map<upstream_id, upstream_announcement> Upstreams;
  std::vector<gateway_share> Gateways;
  std::vector<share_holder> Holders;
  /// Highest position known to be acknowledged.
  position Watermark;
  /// A gateway incarnation ended without handing over what it acknowledged.
  bool Dirty = false;
  revision DirtySince;
  /// The smallest AckReplicas in effect during this term.
  std::uint32_t LeastAckReplicas = 0;
  std::uint64_t BudgetEpoch = 0;
  std::optional<promotion_state> Promotion;
  /// The table has no row for it.
  bool Removed = true;
  std::deque<departed_upstream> Departed;

  bool operator==(const group_state &) const = default;
};

/// The first answer to an edit of the table.
struct edit_answer {
  edit_id Edit;
  bool Accepted = false;
  /// The version reached, or the one that won.
  table_version Version;
  edit_id WinningEdit;

  bool operator==(const edit_answer &) const = default;
};

/// Edits remembered so that a resent one gets its first answer.
constexpr std::size_t RememberedEdits = 10000;

/// What is derived from all groups, so that a renewal need not look at each.
struct group_index {
  /// The highest revision of any group.
  revision LatestChange;
  /// The groups that are dirty.
  std::vector<group_id> Dirty;
  /// Groups assigned to each VM.
  std::map<vm_id, std::size_t> Loads;
  /// Of these, the last by name.
  std::map<vm_id, group_id> LastGroups;
  /// Groups that are served, and VMs that take some.
  std::size_t Groups = 0;
  std::size_t GatewayVms = 0;
  /// Availability zones that have such VMs.
  std::size_t Zones = 0;

  bool operator==(const group_index &) const = default;
};

/// The deployment in force and the text it was read from.
struct deployment_record {
  deployment Deployment;
  /// As it was submitted, compressed; shown to operators.
  std::string Document;
  /// Index of the entry that set it.
  revision Revision;

  bool operator==(const deployment_record &) const = default;
};

/// What the replicated log builds up.
struct control_state {
  revision Applied;
  group_index Index;
  table_version TableVersion;
  edit_id LastEdit;
  std::map<vm_id, vm_record> Vms;
  std::map<group_id, group_state> Groups;
  std::deque<edit_answer> Edits;
  deployment_record Deployment;

  bool operator==(const control_state &) const = default;
};

/// Derives the index anew.
group_index indexGroups(const control_state &State);

/// Applies one committed command. Throws error when it can't be read.
void applyCommand(control_state &State, revision Index,
                  const wire::control_command &Command);

/// The commands.
wire::control_command makeEditCommand(const edit_id &Edit, table_version Base,
                                      const std::vector<table_row> &Rows);
wire::control_command makeVmCommand(const vm_record &Vm);
wire::control_command
makeAnnouncementCommand(const upstream_announcement &Announcement);
/// Puts a deployment in force unless one of its version or a higher is.
wire::control_command
makeDeploymentCommand(const deployment_proposal &Proposal);
/// Replaces a group's state if its revision is still that of Next.
wire::control_command makeGroupCommand(const group_state &Next);

/// Whether an announcement is of a run of the upstream that has been replaced
/// by a later one or has left.
bool isOutdated(const group_state &Group,
                const upstream_announcement &Announcement);

/// The group as VMs see it.
group_view viewOf(const group_state &Group);

/// The first answer to an edit, if it is remembered.
const edit_answer *findEdit(const control_state &State, const edit_id &Edit);

/// The rows of the table, by group.
std::vector<table_row> tableRows(const control_state &State);

/// The gateway share of a VM, if the group is assigned to it.
const gateway_share *findShare(const group_state &Group, const vm_id &Vm);

/// The holder entry of a gateway incarnation.
const share_holder *findHolder(const group_state &Group, const vm_id &Vm,
                               incarnation Incarnation);

std::string encodeSnapshot(const control_state &State);
/// Throws error when the text is not a snapshot.
control_state decodeSnapshot(const std::string &Text);

} // namespace teasellock
