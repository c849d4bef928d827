/// The state of the control service, shared by its source files:
/// control_service.cpp (log and renewals), control_decisions.cpp,
/// control_members.cpp, control_deployment.cpp and control_operators.cpp.
#pragma once

#include "modules/control/control_service.h"
#include "modules/control/decision_agenda.h"
#include "modules/control/held_renewals.h"
#include "modules/control/leader_state.h"
#include "modules/control/message_kinds.h"

#include <set>
#include <string>
#include <vector>

namespace teasellock {

struct control_service::state {
  /// A fence whose reply has not arrived yet.
  struct sent_fence {
    group_id Group;
    gateway_run Run;
    time_point AskedAt;
  };

  /// A control store that a VM has reported.
  struct heard_store {
    control_member Member;
    time_point At;
  };

  daemon_context &Context;
  link_hub &Hub;
  decision_settings Settings;
  std::function<void(const promotion_order &,
                     std::function<void(promotion_answer)>)>
      OrderPromotion;
  std::size_t Voters;
  bool Founder;
  std::function<void()> StoreFailed;
  std::map<store_id, heard_store> ControlStores;
  time_point MembersCheckedAt;
  control_state Replicated;
  leader_state Leader;
  /// How long after a quorum confirmed this leader no other can be elected.
  duration ConfirmationLife;
  bool Leading = false;
  /// Incremented whenever leadership changes; callbacks of an earlier value are
  /// ignored.
  std::uint64_t Leadership = 0;
  std::map<vm_id, link_id> Links;
  std::map<vm_id, time_point> NudgedAt;
  /// Groups with a change that is not committed yet.
  std::set<group_id> Committing;
  decision_agenda Agenda;
  /// Proposals made by the current decision.
  std::vector<proposal> SeenProposals;
  /// The latest renewal of each VM whose record is not committed yet.
  std::map<vm_id, std::pair<link_id, link_message>> Unregistered;
  /// Renewals received while no leader was known, the latest of each VM.
  held_renewals Held;
  /// Incarnations whose VM record has been proposed.
  std::set<gateway_run> Registering;
  /// When the announcements that are not committed yet were proposed.
  std::map<std::pair<group_id, upstream_id>, time_point> Announcing;
  std::map<request_id, sent_fence> Fences;
  /// Timer of the next nudge to all outdated VMs, and when the last one ran.
  timer_subscription News;
  time_point NewsToldAt;
  bool DecidePosted = false;
  timer_subscription Tick;
  counter &Promotions;
  counter &Renewals;
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
  void answerHeld();
  void refuseRenewal(link_id Link, const link_message &Message,
                     const wire::renewal &Renewal);
  void grantRenewal(link_id Link, const link_message &Message,
                    const wire::renewal &Renewal, bool Leased);
  void takeAnnouncements(const wire::renewal &Renewal);
  void updateRecord(const wire::renewal &Renewal);

  // control_members.cpp: membership of the control group.
  void found();
  void noteControlStore(const wire::renewal &Renewal);
  void keepMembers();

  // control_deployment.cpp: submitted deployments and announcements.
  bool handleInternal(const std::string &Method,
                      const std::vector<std::string> &Parts,
                      const std::string &Body, const operator_answer &Answer);
  void putDeployment(const std::string &Body, const operator_answer &Answer);
  void readDeployment(const operator_answer &Answer);
  /// Fills in the known fields of an upstream that has left. Returns false if
  /// the upstream is unknown.
  bool completeDeparture(wire::announcement &Announcement) const;
  /// Reports whether an announcement changes nothing; records when it was
  /// received unless its incarnation is outdated.
  bool isKnown(upstream_announcement Announcement);
  void takeAnnouncement(const std::string &Body, const operator_answer &Answer);

  void onFenceReply(link_id Link, link_message &&Message);
  void onPromoteReply(link_id Link, link_message &&Message);
  void onOperatorRequest(link_id Link, link_message &&Message);

  void tick();
  /// Schedules a decision on the group after the current callback.
  void decideSoon(const group_id &Group);
  void decideAllSoon();
  void decideOn(const std::vector<group_id> &Groups);
  void decide(const group_state &Group);
  void carryOut(const group_state &Group, const group_decision &Decision);
  void commit(const group_state &Next, const std::string &Kind,
              const std::string &Reason);
  void noteProposals(const group_id &Group, const std::vector<proposal> &Seen);

  bool sendTo(const gateway_run &Run, message_kind Kind, request_id Request,
              std::string Body);
  void sendFences(const group_state &Group,
                  const std::vector<gateway_run> &Runs, term PauseTerm);
  void sendResume(const group_state &Group);
  void callPlatform(const group_state &Group, const promotion_order &Order);
  void sendOrder(const group_state &Group, const gateway_run &Run);
  void nudge(const vm_id &Vm);
  void nudgeSoon();
  void nudgeBehind();

  void handle(const std::string &Method, const std::string &Path,
              const std::string &Body, const operator_answer &Answer);
  bool handleRead(const std::vector<std::string> &Parts,
                  const operator_answer &Answer);
  void putTable(const std::string &Body, const operator_answer &Answer);
  void answerEdit(const edit_id &Edit, const operator_answer &Answer);
  void judgeProposal(const std::string &Id, const std::string &Verdict,
                     const operator_answer &Answer);
  void promoteByOperator(const group_id &Name, const std::string &Body,
                         const operator_answer &Answer);
  void drainByOperator(const vm_id &Vm, const operator_answer &Answer);
  bool handleControl(const std::string &Method,
                     const std::vector<std::string> &Parts,
                     const std::string &Body, const operator_answer &Answer);
  void initialise(const std::string &Body, const operator_answer &Answer);
  void replaceMember(const std::string &Body, const operator_answer &Answer);
  void notLeader(const operator_answer &Answer);
};

} // namespace teasellock
