/// The state of the control service, shared by its source files:
/// control_service.cpp (log and renewals), control_decisions.cpp,
/// control_limiters.cpp, control_members.cpp, control_deployment.cpp and
/// control_operators.cpp.
#pragma once

#include "modules/control/control_service.h"
#include "modules/control/decision_queue.h"
#include "modules/control/deployment_transfers.h"
#include "modules/control/held_renewals.h"
#include "modules/control/leader_state.h"
#include "modules/control/message_kinds.h"
#include "modules/control/renewal_reply.h"
#include "modules/control/view_pushes.h"
#include "modules/deployment/deployment_patch.h"

#include <set>
#include <string>
#include <vector>

namespace teasellock {

struct control_service::state {
  /// A fence whose reply has not arrived yet.
  struct sent_fence {
    group_id Group;
    gateway_incarnation Gateway;
    time_point FenceSentAt;
  };

  /// A control store that a VM has reported.
  struct reported_store {
    control_member Member;
    time_point ReportedAt;
  };

  daemon_context &Context;
  link_hub &Hub;
  decision_settings Settings;
  std::function<void(const promotion_order &,
                     std::function<void(promotion_answer)>)>
      OrderPromotion;
  std::size_t TargetVoters;
  bool InitialisesGroup;
  std::function<void()> OnStoreFailed;
  std::map<store_id, reported_store> ControlStores;
  time_point MembersCheckedAt;
  control_state Replicated;
  leader_state Leader;
  /// How long after a quorum confirmed this leader no other can be elected.
  duration ConfirmationValidity;
  bool Leading = false;
  /// Incremented whenever leadership changes; callbacks of an earlier value are
  /// ignored.
  std::uint64_t LeadershipEpoch = 0;
  std::map<vm_id, link_id> Links;
  std::map<vm_id, time_point> LastNudgeAt;
  sent_pushes Pushes;
  /// Kept when the leadership changes: the links still deliver the copies.
  deployment_transfers Transfers;
  transfer_map<applied_views> ViewTransfers;
  deployment_history History;
  /// For each version that a VM has reported, the compressed patches that lead
  /// to the newest one.
  std::map<deployment_version, std::string> CompressedPatches;
  /// Groups with a change that is not committed yet.
  std::set<group_id> Committing;
  /// A change of the assignment of limiters is not committed yet.
  bool CommittingLimiters = false;
  decision_queue Queue;
  /// Proposals made by the current decision.
  std::vector<operator_proposal> DecisionProposals;
  /// The latest renewal of each VM whose record is not committed yet.
  std::map<vm_id, std::pair<link_id, link_message>> UnregisteredRenewals;
  /// Renewals received while no leader was known, the latest of each VM.
  held_renewals HeldRenewals;
  /// Incarnations whose VM record has been proposed.
  std::set<gateway_incarnation> Registering;
  /// When the announcements that are not committed yet were proposed.
  std::map<std::pair<group_id, upstream_id>, time_point> Announcing;
  std::map<request_id, sent_fence> PendingFences;
  /// Timer of the next update of all outdated VMs, when the last one ran and
  /// how long it took.
  timer_subscription UpdateTimer;
  time_point LastUpdateAt;
  duration LastUpdateDuration{};
  bool IsDecisionPosted = false;
  timer_subscription TickTimer;
  counter &Promotions;
  counter &Renewals;
  counter &OutdatedAnnouncements;
  gauge &GroupsWithoutCandidate;
  /// Copies of the deployment sent to VMs, and their bytes.
  counter &DeploymentCopies;
  counter &DeploymentBytes;
  /// Bytes that this process has sent on all its links.
  counter &LinkBytes;
  time_point ProgressReportedAt;
  consensus_service Consensus;

  state(daemon_context &Context, link_hub &Hub, control_settings Settings,
        consensus_settings ConsensusSettings);

  state_machine_hooks hooks();
  void start();
  time_point now() const { return Context.Timers.now(); }

  void apply(revision Index, const std::string &Command);
  void leadershipChanged(bool IsLeading);
  void propose(const wire::control_command &Command,
               std::function<void(proposal_outcome)> Done);

  void onRenewal(link_id Link, link_message &&Message);
  void handleRenewal(link_id Link, link_message &&Message,
                     const wire::renewal &Renewal);
  void registerVm(link_id Link, link_message &&Message,
                  const wire::renewal &Renewal, const vm_record &Record);
  void answerHeldRenewals();
  void refuseRenewal(link_id Link, const link_message &Message,
                     const wire::renewal &Renewal);
  void grantRenewal(link_id Link, const link_message &Message,
                    const wire::renewal &Renewal, bool Leased);
  /// Returns a reply with the views that the VM lacks, unless many of them are
  /// on their way already.
  wire::renewal_reply buildViewReply(link_id Link,
                                     const wire::renewal &Renewal);
  /// Adds the deployment to a reply if the VM needs it and no copy is on its
  /// way.
  void addDeployment(wire::renewal_reply &Reply, link_id Link,
                     const wire::renewal &Renewal);
  /// Returns the content of deployment_patches in a reply.
  const std::string &compressPatches(deployment_version Base);
  void handleAnnouncements(const wire::renewal &Renewal);
  void updateVmRecord(const wire::renewal &Renewal);

  // control_members.cpp: membership of the control group.
  void foundGroup();
  void recordControlStore(const wire::renewal &Renewal);
  void maintainMembers();

  // control_deployment.cpp: submitted deployments and announcements.
  bool handleInternal(const std::string &Method,
                      const std::vector<std::string> &Parts,
                      const std::string &Body, const answer_callback &Answer);
  void putDeployment(const std::string &Body, const answer_callback &Answer);
  void readDeployment(const answer_callback &Answer);
  /// Fills in the known fields of an upstream that has left. Returns false if
  /// the upstream is unknown.
  bool completeDeparture(wire::announcement &Announcement) const;
  /// Reports whether an announcement changes nothing; records when it was
  /// received unless its incarnation is outdated.
  bool isKnownAnnouncement(upstream_announcement Announcement);
  /// Answers an announcement of an outdated incarnation with a conflict, so
  /// that nothing is acknowledged that has no effect. Returns false if the
  /// announcement has to be handled.
  bool rejectOutdated(const group_state &Group,
                      const upstream_announcement &Announcement,
                      const answer_callback &Answer);
  void handleAnnouncement(const std::string &Body,
                          const answer_callback &Answer);
  void recordDeploymentVersion();
  /// Logs, once a second, how many VMs still have an older deployment.
  void reportDeploymentProgress();

  void onFenceReply(link_id Link, link_message &&Message);
  void onPromoteReply(link_id Link, link_message &&Message);
  void onOperatorRequest(link_id Link, link_message &&Message);

  void tick();
  /// Schedules a decision on the group after the current callback.
  void scheduleDecision(const group_id &Group);
  void scheduleAllDecisions();
  void decideGroups(const std::vector<group_id> &Groups);
  void decide(const group_state &Group);
  /// Records why a decision waits; logs when no upstream may be promoted.
  void recordWaiting(const group_state &Group, const group_decision &Decision);
  void executeDecision(const group_state &Group,
                       const group_decision &Decision);
  void commit(const group_state &Next, const std::string &Kind,
              const std::string &Reason);
  void recordProposals(const group_id &Group,
                       const std::vector<operator_proposal> &Proposals);

  // control_limiters.cpp: the assignment of limiters.
  /// Decides on the assignment unless a change is being committed.
  void updateLimiters();
  /// Asks the VMs that have an older assignment for a renewal.
  void nudgeForLimiters();

  bool sendTo(const gateway_incarnation &Gateway, message_kind Kind,
              request_id Request, std::string Body);
  void sendFences(const group_state &Group, const group_decision &Decision);
  void sendResume(const group_state &Group);
  void callPlatform(const group_state &Group, const promotion_order &Order);
  void sendOrder(const group_state &Group, const gateway_incarnation &Gateway);
  void nudge(const vm_id &Vm);
  void scheduleUpdate();
  /// Sends the changed views to all VMs that lack them, or a nudge where they
  /// lack more.
  void updateOutdatedVms();
  /// Bodies of pushes by the revision that they are based on.
  using push_bodies = std::map<revision, std::string>;
  void updateVm(const vm_id &Name, const vm_observation &Vm,
                push_bodies &Bodies);
  /// Returns the body of a push, empty if the changes are too many for one.
  const std::string &pushBody(revision Base, push_bodies &Bodies);

  void handle(const std::string &Method, const std::string &Path,
              const std::string &Body, const answer_callback &Answer);
  bool handleRead(const std::vector<std::string> &Parts,
                  const answer_callback &Answer);
  void putTable(const std::string &Body, const answer_callback &Answer);
  void answerEdit(const edit_id &Edit, const answer_callback &Answer);
  void judgeProposal(const std::string &Id, const std::string &Verdict,
                     const answer_callback &Answer);
  void promoteByOperator(const group_id &Name, const std::string &Body,
                         const answer_callback &Answer);
  void drainByOperator(const vm_id &Vm, const answer_callback &Answer);
  bool handleControl(const std::string &Method,
                     const std::vector<std::string> &Parts,
                     const std::string &Body, const answer_callback &Answer);
  void initialise(const std::string &Body, const answer_callback &Answer);
  void replaceMember(const std::string &Body, const answer_callback &Answer);
  void answerNotLeader(const answer_callback &Answer);
};

} // namespace teasellock
