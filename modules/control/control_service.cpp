#include "modules/control/control_service.h"

#include "core/event_log.h"
#include "modules/control/assignment.h"
#include "modules/control/control_state.h"
#include "modules/control/leases.h"
#include "modules/control/operator_json.h"
#include "modules/control/promotion.h"
#include "modules/control/renewal_reply.h"
#include "modules/control/table_edit.h"
#include "modules/link/codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

namespace teasellock {

namespace {

using nlohmann::json;

constexpr std::int16_t RenewalKind = 100;
constexpr std::int16_t RenewalReplyKind = 101;
constexpr std::int16_t FenceKind = 102;
constexpr std::int16_t FenceReplyKind = 103;
constexpr std::int16_t PromoteKind = 104;
constexpr std::int16_t PromoteReplyKind = 105;
constexpr std::int16_t OperatorRequestKind = 106;
constexpr std::int16_t OperatorReplyKind = 107;
constexpr std::int16_t NudgeKind = 108;

/// How often time alone is looked at; everything else is driven by messages.
const duration TickPeriod = fromMilliseconds(25);
/// The least span between two nudges of one VM.
const duration NudgePeriod = fromMilliseconds(40);
/// An announcement that is being committed is not proposed again within this.
const duration AnnouncementPatience = fromMilliseconds(1000);
/// An order whose answer has not come by then is forgotten.
const duration OrderMemory = fromMilliseconds(10000);

std::string text(const json &Json) {
  return Json.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<std::string> splitPath(const std::string &Path) {
  std::vector<std::string> Parts;
  std::istringstream In(Path);
  for (std::string Part; std::getline(In, Part, '/');)
    if (!Part.empty())
      Parts.push_back(Part);
  return Parts;
}

decision_settings decisionSettings(const control_settings &Settings) {
  decision_settings Result;
  Result.LeaseTime = Settings.LeaseTime;
  Result.LeaseMargin = Settings.LeaseMargin;
  Result.OrderTimeout = Settings.OrderTimeout;
  Result.VmTimeout = Settings.VmTimeout;
  return Result;
}

} // namespace

struct control_service::state {
  /// A fence whose answer is awaited.
  struct sent_fence {
    group_id Group;
    gateway_run Run;
    time_point AskedAt;
  };

  daemon_context &Context;
  link_hub &Hub;
  decision_settings Settings;
  control_state Replicated;
  leader_state Leader;
  /// How long after a quorum followed this leader none other can be elected.
  duration ConfirmationLife;
  bool Leading = false;
  /// Grows whenever leadership changes; answers of an earlier time are void.
  std::uint64_t Leadership = 0;
  std::map<vm_id, link_id> Links;
  std::map<vm_id, time_point> NudgedAt;
  /// Groups with a change that is being committed.
  std::set<group_id> Committing;
  std::map<vm_id, std::pair<link_id, link_message>> Unregistered;
  std::set<gateway_run> Registering;
  std::map<std::pair<group_id, upstream_id>, time_point> Announcing;
  std::map<request_id, sent_fence> Fences;
  bool NudgePosted = false;
  bool DecidePosted = false;
  timer_subscription Tick;
  counter &Promotions;
  counter &Renewals;
  consensus_service Consensus;

  state(daemon_context &Context, link_hub &Hub, control_settings Settings,
        consensus_settings ConsensusSettings)
      : Context(Context), Hub(Hub), Settings(decisionSettings(Settings)),
        ConfirmationLife(ConsensusSettings.ElectionTimeout / 2),
        Promotions(
            Context.Metrics.counterOf("teasellock_control_promotions_total")),
        Renewals(
            Context.Metrics.counterOf("teasellock_control_renewals_total")),
        Consensus(Context, Hub, std::move(ConsensusSettings), hooks()) {}

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
  void refuseRenewal(link_id Link, const link_message &Message,
                     const wire::renewal &Renewal);
  void grantRenewal(link_id Link, const link_message &Message,
                    const wire::renewal &Renewal);
  void takeAnnouncements(const wire::renewal &Renewal);
  void updateRecord(const wire::renewal &Renewal);

  void onFenceReply(link_id Link, link_message &&Message);
  void onPromoteReply(link_id Link, link_message &&Message);
  void onOperatorRequest(link_id Link, link_message &&Message);

  void tick();
  void decideSoon();
  void decideAll();
  void decide(const group_state &Group);
  void carryOut(const group_state &Group, const group_decision &Decision);
  void commit(const group_state &Next, const std::string &Kind,
              const std::string &Reason);
  void noteProposals(const std::vector<proposal> &Seen);
  std::vector<proposal> SeenProposals;

  bool sendTo(const gateway_run &Run, message_kind Kind, request_id Request,
              std::string Body);
  void sendFences(const group_state &Group,
                  const std::vector<gateway_run> &Runs);
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

//===----------------------------------------------------------------------===//
// The log
//===----------------------------------------------------------------------===//

state_machine_hooks control_service::state::hooks() {
  state_machine_hooks Hooks;
  Hooks.Apply = [this](revision Index, const std::string &Command) {
    apply(Index, Command);
  };
  Hooks.Snapshot = [this] { return encodeSnapshot(Replicated); };
  Hooks.Restore = [this](revision, const std::string &Snapshot) {
    Replicated = decodeSnapshot(Snapshot);
  };
  Hooks.LeadershipChanged = [this](bool IsLeading) {
    leadershipChanged(IsLeading);
  };
  return Hooks;
}

void control_service::state::apply(revision Index, const std::string &Command) {
  try {
    applyCommand(Replicated, Index,
                 decode<wire::control_command>(Command, "log"));
  } catch (const error &Problem) {
    // The same on every member: the entry changes nothing anywhere.
    Replicated.Applied = Index;
    event("control.bad_command", severity::Error)
        .with("index", Index.Value)
        .with("problem", Problem.what());
  }
  if (!Leading)
    return;
  decideSoon();
  nudgeSoon();
}

void control_service::state::leadershipChanged(bool IsLeading) {
  Leading = IsLeading;
  ++Leadership;
  Leader = leader_state();
  Leader.LeadingSince = now();
  Committing.clear();
  Unregistered.clear();
  Registering.clear();
  Announcing.clear();
  Fences.clear();
  event("control.leadership").with("leading", IsLeading);
  if (IsLeading)
    decideSoon();
}

void control_service::state::propose(
    const wire::control_command &Command,
    std::function<void(proposal_outcome)> Done) {
  Consensus.propose(
      encode(Command), [this, Term = Leadership, Done = std::move(Done)](
                           proposal_outcome Outcome, revision) {
        if (Term != Leadership && Outcome == proposal_outcome::Committed)
          Outcome = proposal_outcome::Unknown;
        Done(Outcome);
      });
}

//===----------------------------------------------------------------------===//
// Renewals
//===----------------------------------------------------------------------===//

void control_service::state::onRenewal(link_id Link, link_message &&Message) {
  auto Renewal = decode<wire::renewal>(Message.Body, "renewal");
  Renewals.add();
  if (!Leading || !Consensus.isLeader()) {
    refuseRenewal(Link, Message, Renewal);
    return;
  }
  if (now() - Consensus.leaderConfirmedAt() < ConfirmationLife) {
    handleRenewal(Link, std::move(Message), Renewal);
    return;
  }
  // No lease is granted before a quorum has said that this is the leader.
  Consensus.confirmLeadership(
      [this, Link, Renewal, Message = std::move(Message)](bool Leads) mutable {
        if (Leads && Leading)
          handleRenewal(Link, std::move(Message), Renewal);
        else
          refuseRenewal(Link, Message, Renewal);
      });
}

void control_service::state::handleRenewal(link_id Link, link_message &&Message,
                                           const wire::renewal &Renewal) {
  auto Record = changedRecord(Replicated, Renewal);
  auto Verdict = takeRenewal(Replicated, Leader, Renewal, Settings, now());
  if (Verdict == renewal_verdict::Refused) {
    event("control.renewal_refused", severity::Warning)
        .with("vm", Renewal.vm)
        .with("incarnation", Renewal.incarnation);
    refuseRenewal(Link, Message, Renewal);
    return;
  }
  Links[vm_id(Renewal.vm)] = Link;
  if (Verdict == renewal_verdict::Unregistered) {
    registerVm(Link, std::move(Message), Renewal, *Record);
    return;
  }
  if (Record)
    updateRecord(Renewal);
  takeAnnouncements(Renewal);
  grantRenewal(Link, Message, Renewal);
  decideSoon();
}

void control_service::state::registerVm(link_id Link, link_message &&Message,
                                        const wire::renewal &Renewal,
                                        const vm_record &Record) {
  vm_id Vm = Record.Vm;
  Unregistered[Vm] = {Link, std::move(Message)};
  gateway_run Run(Vm, Record.Incarnation);
  if (!Registering.insert(Run).second)
    return;
  event("control.vm_registered")
      .with("vm", Renewal.vm)
      .with("incarnation", Renewal.incarnation);
  propose(makeVmCommand(Record), [this, Run](proposal_outcome Outcome) {
    Registering.erase(Run);
    auto Waiting = Unregistered.extract(Run.first);
    if (Outcome != proposal_outcome::Committed || Waiting.empty())
      return;
    onRenewal(Waiting.mapped().first, std::move(Waiting.mapped().second));
  });
}

void control_service::state::refuseRenewal(link_id Link,
                                           const link_message &Message,
                                           const wire::renewal &Renewal) {
  wire::renewal_reply Reply;
  Reply.granted = false;
  Reply.sent_at_us = Renewal.sent_at_us;
  auto Known = Consensus.leader();
  if (Known && !Consensus.isLeader())
    Reply.leader_address = toString(*Known);
  Hub.send(Link, {message_kind(RenewalReplyKind), Message.Request,
                  encode(Reply), ""});
}

void control_service::state::grantRenewal(link_id Link,
                                          const link_message &Message,
                                          const wire::renewal &Renewal) {
  wire::renewal_reply Reply = changesSince(
      Replicated,
      revision(static_cast<std::uint64_t>(Renewal.applied_revision)),
      cursorOf(Renewal));
  Reply.granted = true;
  Reply.sent_at_us = Renewal.sent_at_us;
  // A lease never comes without the views it is to be used with.
  Reply.lease_ms = Reply.more ? 0 : toMilliseconds(Settings.LeaseTime);
  Reply.released =
      Renewal.draining && isReleased(Replicated, vm_id(Renewal.vm));
  Hub.send(Link, {message_kind(RenewalReplyKind), Message.Request,
                  encode(Reply), ""});
}

void control_service::state::updateRecord(const wire::renewal &Renewal) {
  auto Record = changedRecord(Replicated, Renewal);
  gateway_run Run(Record->Vm, Record->Incarnation);
  if (!Registering.insert(Run).second)
    return;
  propose(makeVmCommand(*Record),
          [this, Run](proposal_outcome) { Registering.erase(Run); });
}

void control_service::state::takeAnnouncements(const wire::renewal &Renewal) {
  for (const auto &Wire : Renewal.announcements) {
    try {
      auto Announcement = fromWire(Wire);
      auto Group = Replicated.Groups.find(Announcement.Group);
      if (Group != Replicated.Groups.end()) {
        auto Known = Group->second.Upstreams.find(Announcement.Upstream);
        if (Known != Group->second.Upstreams.end() &&
            Known->second == Announcement)
          continue;
      }
      auto Key = std::pair(Announcement.Group, Announcement.Upstream);
      auto Pending = Announcing.find(Key);
      if (Pending != Announcing.end() &&
          now() - Pending->second < AnnouncementPatience)
        continue;
      Announcing[Key] = now();
      event("control.announced")
          .with("group", Wire.group)
          .with("upstream", Wire.upstream)
          .with("address", Wire.address)
          .with("leaving", Wire.leaving);
      propose(makeAnnouncementCommand(Announcement),
              [this, Key](proposal_outcome) { Announcing.erase(Key); });
    } catch (const error &Problem) {
      event("control.bad_announcement", severity::Warning)
          .with("vm", Renewal.vm)
          .with("problem", Problem.what());
    }
  }
}

//===----------------------------------------------------------------------===//
// Answers to orders
//===----------------------------------------------------------------------===//

void control_service::state::onFenceReply(link_id, link_message &&Message) {
  auto Sent = Fences.extract(Message.Request);
  auto Reply = decode<wire::fence_reply>(Message.Body, "fence_reply");
  if (!Leading || Sent.empty() || Sent.mapped().Group.Value != Reply.group)
    return;
  auto Group = Replicated.Groups.find(Sent.mapped().Group);
  if (Group == Replicated.Groups.end())
    return;
  takeFenceReply(Group->second, Leader, Sent.mapped().Run, Reply,
                 Sent.mapped().AskedAt);
  event("control.fence_answered")
      .with("group", Reply.group)
      .with("term", Reply.term)
      .with("vm", Sent.mapped().Run.first.Value)
      .with("acknowledged", toString(fromWire(Reply.acknowledged)));
  decideSoon();
}

void control_service::state::onPromoteReply(link_id, link_message &&Message) {
  auto Reply = decode<wire::promote_reply>(Message.Body, "promote_reply");
  auto Group = Replicated.Groups.find(group_id(Reply.group));
  if (!Leading || Group == Replicated.Groups.end())
    return;
  takePromoteReply(Group->second, Leader, Reply);
  event("control.order_answered")
      .with("group", Reply.group)
      .with("upstream", Reply.upstream)
      .with("term", Reply.term)
      .with("done", Reply.done)
      .with("problem", Reply.problem);
  decideSoon();
}

//===----------------------------------------------------------------------===//
// Decisions
//===----------------------------------------------------------------------===//

void control_service::state::tick() {
  if (!Leading)
    return;
  forgetEndedLeases(Replicated, Leader, now());
  std::erase_if(Fences, [&](const auto &Entry) {
    return now() - Entry.second.AskedAt > OrderMemory;
  });
  decideAll();
}

void control_service::state::decideSoon() {
  if (DecidePosted)
    return;
  DecidePosted = true;
  Context.Loop.post([this] {
    DecidePosted = false;
    if (Leading)
      decideAll();
  });
}

void control_service::state::decideAll() {
  SeenProposals.clear();
  for (const auto &[Name, Group] : Replicated.Groups)
    decide(Group);
  noteProposals(SeenProposals);
}

void control_service::state::decide(const group_state &Group) {
  if (Committing.contains(Group.Group))
    return;
  auto Decision = decidePromotion(Group, Leader, Settings, now());
  Leader.Orders[Group.Group].Waiting = Decision.Waiting;
  carryOut(Group, Decision);
  if (Decision.Next)
    return;
  auto Cleaning = decideCleaning(Group, Leader, Settings);
  carryOut(Group, Cleaning);
  if (Cleaning.Next)
    return;
  carryOut(Group, decideAssignment(Replicated, Group, Leader, Settings, now()));
}

void control_service::state::carryOut(const group_state &Group,
                                      const group_decision &Decision) {
  if (Decision.Proposal)
    SeenProposals.push_back(*Decision.Proposal);
  if (!Decision.Fences.empty())
    sendFences(Group, Decision.Fences);
  if (Decision.Promoter)
    sendOrder(Group, *Decision.Promoter);
  for (const auto &Vm : Decision.Nudges)
    nudge(Vm);
  if (Decision.Next)
    commit(*Decision.Next, Decision.Kind, Decision.Reason);
}

void control_service::state::commit(const group_state &Next,
                                    const std::string &Kind,
                                    const std::string &Reason) {
  event("control." + Kind)
      .with("group", Next.Group.Value)
      .with("term", Next.Term.Value)
      .with("reason", Reason);
  if (Kind == "promoted")
    Promotions.add();
  Committing.insert(Next.Group);
  propose(makeGroupCommand(Next),
          [this, Name = Next.Group, Term = Leadership](proposal_outcome) {
            if (Term != Leadership)
              return;
            Committing.erase(Name);
            decideSoon();
          });
}

void control_service::state::noteProposals(const std::vector<proposal> &Seen) {
  std::map<std::string, proposal> Next;
  for (const auto &Proposal : Seen) {
    if (!Leader.Proposals.contains(Proposal.Id))
      event("control.proposed")
          .with("id", Proposal.Id)
          .with("reason", Proposal.Reason);
    Next[Proposal.Id] = Proposal;
  }
  Leader.Proposals = std::move(Next);
}

//===----------------------------------------------------------------------===//
// Messages to VMs
//===----------------------------------------------------------------------===//

bool control_service::state::sendTo(const gateway_run &Run, message_kind Kind,
                                    request_id Request, std::string Body) {
  auto Known = Links.find(Run.first);
  if (Known == Links.end() || !Hub.isOpen(Known->second))
    return false;
  const auto *Peer = Hub.peerOf(Known->second);
  if (!Peer || Peer->Vm != Run.first || Peer->Incarnation != Run.second)
    return false;
  return Hub.send(Known->second, {Kind, Request, std::move(Body), ""});
}

void control_service::state::sendFences(const group_state &Group,
                                        const std::vector<gateway_run> &Runs) {
  wire::fence Fence;
  Fence.group = Group.Group.Value;
  Fence.term = static_cast<std::int64_t>(Group.Term.Value);
  time_point At = now();
  for (const auto &Run : Runs) {
    auto Request = Hub.nextRequest();
    if (!sendTo(Run, message_kind(FenceKind), Request, encode(Fence)))
      continue;
    Fences[Request] = {Group.Group, Run, At};
  }
  noteFencesSent(Group, Leader, Runs, At);
}

void control_service::state::sendOrder(const group_state &Group,
                                       const gateway_run &Run) {
  wire::promote Order;
  Order.group = Group.Group.Value;
  Order.upstream = Group.Promotion->Chosen->Value;
  Order.term = static_cast<std::int64_t>(Group.Term.Value);
  sendTo(Run, message_kind(PromoteKind), Hub.nextRequest(), encode(Order));
  noteOrderSent(Group, Leader, now());
}

void control_service::state::nudge(const vm_id &Vm) {
  auto Link = Links.find(Vm);
  auto Last = NudgedAt.find(Vm);
  if (Link == Links.end() ||
      (Last != NudgedAt.end() && now() - Last->second < NudgePeriod))
    return;
  wire::nudge Nudge;
  Nudge.revision = static_cast<std::int64_t>(Replicated.Applied.Value);
  NudgedAt[Vm] = now();
  Hub.send(Link->second,
           {message_kind(NudgeKind), Hub.nextRequest(), encode(Nudge), ""});
}

void control_service::state::nudgeSoon() {
  if (NudgePosted)
    return;
  NudgePosted = true;
  Context.Loop.post([this] {
    NudgePosted = false;
    if (Leading)
      nudgeBehind();
  });
}

void control_service::state::nudgeBehind() {
  revision Latest;
  for (const auto &[Name, Group] : Replicated.Groups)
    Latest = std::max(Latest, Group.Revision);
  for (const auto &[Name, Vm] : Leader.Vms)
    if (Vm.Applied < Latest) {
      // News is not held back by an earlier nudge.
      NudgedAt.erase(Name);
      nudge(Name);
    }
}

//===----------------------------------------------------------------------===//
// Operators
//===----------------------------------------------------------------------===//

void control_service::state::onOperatorRequest(link_id Link,
                                               link_message &&Message) {
  auto Request = decode<wire::operator_request>(Message.Body, "operator");
  handle(Request.method, Request.path, Request.body,
         [this, Link, Number = Message.Request](int Status, std::string Body) {
           wire::operator_reply Reply;
           Reply.status = Status;
           Reply.body = std::move(Body);
           Hub.send(Link, {message_kind(OperatorReplyKind), Number,
                           encode(Reply), ""});
         });
}

void control_service::state::notLeader(const operator_answer &Answer) {
  auto Known = Consensus.leader();
  json Leader = Known ? json(toString(*Known)) : json();
  Answer(503, text({{"error", "this VM does not lead control"},
                    {"leader", Leader}}));
}

void control_service::state::handle(const std::string &Method,
                                    const std::string &Path,
                                    const std::string &Body,
                                    const operator_answer &Answer) {
  auto Parts = splitPath(Path);
  if (Parts.size() < 2 || Parts[0] != "v1") {
    Answer(404, errorResult(404, "no such path").Body);
    return;
  }
  if (Parts[1] == "control" && handleControl(Method, Parts, Body, Answer))
    return;
  if (!Leading || !Consensus.isLeader()) {
    notLeader(Answer);
    return;
  }
  if (Method == "GET" && handleRead(Parts, Answer))
    return;
  if (Method == "PUT" && Parts.size() == 2 && Parts[1] == "table") {
    putTable(Body, Answer);
    return;
  }
  if (Method == "POST" && Parts.size() == 4) {
    if (Parts[1] == "proposals") {
      judgeProposal(Parts[2], Parts[3], Answer);
      return;
    }
    if (Parts[1] == "groups" && Parts[3] == "promote") {
      promoteByOperator(group_id(Parts[2]), Body, Answer);
      return;
    }
    if (Parts[1] == "vms" && Parts[3] == "drain") {
      drainByOperator(vm_id(Parts[2]), Answer);
      return;
    }
  }
  Answer(404, errorResult(404, "no such path").Body);
}

bool control_service::state::handleRead(const std::vector<std::string> &Parts,
                                        const operator_answer &Answer) {
  const auto &What = Parts[1];
  if (Parts.size() == 3 && What == "groups") {
    auto Group = Replicated.Groups.find(group_id(Parts[2]));
    if (Group == Replicated.Groups.end())
      Answer(404, errorResult(404, "no group " + Parts[2]).Body);
    else
      Answer(200, text(groupJson(Group->second, Leader)));
    return true;
  }
  if (Parts.size() == 3 && What == "table" && Parts[2] == "status") {
    Answer(200, text(tableStatusJson(Replicated, Leader, now())));
    return true;
  }
  if (Parts.size() != 2)
    return false;
  if (What == "table")
    Answer(200, text(tableJson(Replicated)));
  else if (What == "groups")
    Answer(200, text(groupsJson(Replicated, Leader)));
  else if (What == "vms")
    Answer(200, text(vmsJson(Replicated, Leader, Settings, now())));
  else if (What == "proposals")
    Answer(200, text(proposalsJson(Leader)));
  else
    return false;
  return true;
}

void control_service::state::answerEdit(const edit_id &Edit,
                                        const operator_answer &Answer) {
  const auto *First = findEdit(Replicated, Edit);
  if (!First) {
    Answer(503, errorResult(503, "the edit's outcome is unknown; send it again "
                                 "with the same edit id")
                    .Body);
    return;
  }
  auto Result = editResult(*First);
  Answer(Result.Status, Result.Body);
}

void control_service::state::putTable(const std::string &Body,
                                      const operator_answer &Answer) {
  auto Edit = readEdit(Body);
  if (!Edit.Problems.empty()) {
    Answer(400, problemsJson(Edit.Problems));
    return;
  }
  if (findEdit(Replicated, Edit.Edit)) {
    answerEdit(Edit.Edit, Answer);
    return;
  }
  event("control.table_edit")
      .with("edit", Edit.Edit.Value)
      .with("base", Edit.Base.Value)
      .with("rows", static_cast<std::uint64_t>(Edit.Rows.size()));
  propose(makeEditCommand(Edit.Edit, Edit.Base, Edit.Rows),
          [this, Id = Edit.Edit, Answer](proposal_outcome Outcome) {
            if (Outcome == proposal_outcome::NotLeader)
              notLeader(Answer);
            else
              answerEdit(Id, Answer);
          });
}

void control_service::state::judgeProposal(const std::string &Id,
                                           const std::string &Verdict,
                                           const operator_answer &Answer) {
  auto Found = Leader.Proposals.find(Id);
  if (Found == Leader.Proposals.end()) {
    Answer(404, errorResult(404, "no proposal " + Id).Body);
    return;
  }
  if (Verdict == "approve") {
    Leader.Approved.insert(Id);
    Leader.Rejected.erase(Id);
  } else if (Verdict == "reject") {
    Leader.Rejected.insert(Id);
    Leader.Approved.erase(Id);
  } else {
    Answer(404, errorResult(404, "approve or reject").Body);
    return;
  }
  event("control.proposal_judged").with("id", Id).with("verdict", Verdict);
  Answer(200, text({{"id", Id}, {"verdict", Verdict}}));
  decideSoon();
}

void control_service::state::promoteByOperator(const group_id &Name,
                                               const std::string &Body,
                                               const operator_answer &Answer) {
  auto Group = Replicated.Groups.find(Name);
  json Request = json::parse(Body, nullptr, false);
  bool Readable = Request.is_object() && Request.contains("upstream") &&
                  Request["upstream"].is_string() &&
                  (!Request.contains("force") || Request["force"].is_boolean());
  if (Group == Replicated.Groups.end() || !Readable) {
    int Status = Readable ? 404 : 400;
    Answer(Status, errorResult(Status, Readable ? "no group " + Name.Value
                                                : "{upstream, force} expected")
                       .Body);
    return;
  }
  if (Committing.contains(Name)) {
    Answer(409, errorResult(409, "a change of the group is being committed; "
                                 "try again")
                    .Body);
    return;
  }
  upstream_id Upstream(Request["upstream"].get<std::string>());
  bool Force = Request.value("force", false);
  try {
    auto Next = promoteByHand(Group->second, Upstream, Force);
    json Risk = promotionRiskJson(Group->second, Leader, Upstream);
    Risk["forced"] = Force;
    commit(Next, "promote_by_hand", text(Risk));
    Answer(202, text(Risk));
  } catch (const error &Problem) {
    Answer(400, errorResult(400, Problem.reason()).Body);
  }
}

void control_service::state::drainByOperator(const vm_id &Vm,
                                             const operator_answer &Answer) {
  auto Known = Replicated.Vms.find(Vm);
  if (Known == Replicated.Vms.end()) {
    Answer(404, errorResult(404, "no VM " + Vm.Value).Body);
    return;
  }
  auto Record = Known->second;
  Record.Draining = true;
  propose(makeVmCommand(Record), [this, Vm, Answer](proposal_outcome Outcome) {
    if (Outcome == proposal_outcome::Committed)
      Answer(202, text({{"vm", Vm.Value}, {"draining", true}}));
    else
      notLeader(Answer);
  });
}

bool control_service::state::handleControl(
    const std::string &Method, const std::vector<std::string> &Parts,
    const std::string &Body, const operator_answer &Answer) {
  if (Parts.size() != 3)
    return false;
  if (Method == "GET" && Parts[2] == "status")
    Answer(200, Consensus.statusJson());
  else if (Method == "POST" && Parts[2] == "init")
    initialise(Body, Answer);
  else if (Method == "POST" && Parts[2] == "replace")
    replaceMember(Body, Answer);
  else
    return false;
  return true;
}

namespace {

/// Store ids are written as numbers or, beyond what JavaScript holds, as text.
store_id readStore(const json &Json) {
  try {
    if (Json.is_string())
      return store_id(std::stoull(Json.get<std::string>()));
    return store_id(Json.get<std::uint64_t>());
  } catch (const std::exception &) {
    throw error("control.member", "request", "store must be a number");
  }
}

/// Reads {store, vm, address, voter}. Throws error when a field is missing.
control_member readMember(const json &Json) {
  control_member Member;
  try {
    Member.Store = readStore(Json.at("store"));
    Member.Vm = vm_id(Json.at("vm").get<std::string>());
    Member.Address = parseEndpoint(Json.at("address").get<std::string>());
    Member.Voter = Json.value("voter", true);
  } catch (const json::exception &Problem) {
    throw error("control.member", "request", Problem.what());
  }
  return Member;
}

std::vector<control_member> readMembers(const json &Request) {
  if (!Request.is_object() || !Request.contains("members") ||
      !Request["members"].is_array())
    throw error("control.member", "request", "{members: [...]} expected");
  std::vector<control_member> Members;
  for (const auto &Member : Request["members"])
    Members.push_back(readMember(Member));
  return Members;
}

} // namespace

void control_service::state::initialise(const std::string &Body,
                                        const operator_answer &Answer) {
  try {
    Consensus.initialise(readMembers(json::parse(Body, nullptr, false)));
    Answer(200, Consensus.statusJson());
  } catch (const error &Problem) {
    Answer(400, errorResult(400, Problem.reason()).Body);
  }
}

void control_service::state::replaceMember(const std::string &Body,
                                           const operator_answer &Answer) {
  json Request = json::parse(Body, nullptr, false);
  try {
    if (Request.is_object() && Request.contains("force") &&
        Request["force"] == true) {
      Answer(200, text({{"done", true}, {"risk", Consensus.forceMembers()}}));
      return;
    }
    if (!Consensus.isLeader()) {
      notLeader(Answer);
      return;
    }
    if (!Request.is_object() || !Request.contains("old") ||
        !Request.contains("new"))
      throw error("control.replace", "request", "{old, new} expected");
    auto Progress = Consensus.replaceMember(readStore(Request["old"]),
                                            readMember(Request["new"]));
    Answer(Progress.Done ? 200 : 202,
           text({{"done", Progress.Done}, {"step", Progress.Text}}));
  } catch (const error &Problem) {
    Answer(400, errorResult(400, Problem.reason()).Body);
  }
}

void control_service::state::start() {
  auto Receive = [this](std::int16_t Kind, auto Handler) {
    Hub.receive(message_kind(Kind), message_kind(Kind),
                [this, Handler](link_id Link, link_message &&Message) {
                  (this->*Handler)(Link, std::move(Message));
                });
  };
  Receive(RenewalKind, &state::onRenewal);
  Receive(FenceReplyKind, &state::onFenceReply);
  Receive(PromoteReplyKind, &state::onPromoteReply);
  Receive(OperatorRequestKind, &state::onOperatorRequest);
  Tick = Context.Timers.every(TickPeriod, [this] { tick(); });
  Consensus.start();
}

control_service::control_service(daemon_context &Context, link_hub &Hub,
                                 control_settings Settings,
                                 consensus_settings ConsensusSettings)
    : State(std::make_unique<state>(Context, Hub, Settings,
                                    std::move(ConsensusSettings))) {}

control_service::~control_service() = default;

void control_service::start() { State->start(); }

void control_service::handleOperator(const std::string &Method,
                                     const std::string &Path,
                                     const std::string &Body,
                                     operator_answer Answer) {
  State->handle(Method, Path, Body, Answer);
}

bool control_service::isLeader() const { return State->Leading; }

} // namespace teasellock
