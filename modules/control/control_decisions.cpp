#include "modules/control/control_service_state.h"

#include "core/event_log.h"
#include "modules/control/assignment.h"
#include "modules/control/leases.h"
#include "modules/control/operator_json.h"
#include "modules/control/pause_promotion.h"
#include "modules/control/promotion.h"
#include "modules/control/promotion_orders.h"
#include "modules/control/renewal_reply.h"
#include "modules/control/table_edit.h"
#include "modules/link/codec.h"

namespace teasellock {

namespace {

/// Minimum interval between two nudges of one VM.
const duration NudgePeriod = fromMilliseconds(40);
/// Minimum interval between two rounds of nudges to all outdated VMs: with
/// 1,700 VMs a round takes 20 ms, and a series of commits must not use up the
/// time that heartbeats of the log need.
const duration NewsPeriod = fromMilliseconds(25);
/// A reply to a fence is accepted no later than this.
const duration OrderMemory = fromMilliseconds(10000);

} // namespace

void control_service::state::tick() {
  answerHeld();
  if (!Leading)
    return;
  forgetEndedLeases(Replicated, Leader, now());
  std::erase_if(Fences, [&](const auto &Entry) {
    return now() - Entry.second.AskedAt > OrderMemory;
  });
  keepMembers();
  decideOn(takeDue(Agenda, Replicated));
}

void control_service::state::decideSoon(const group_id &Group) {
  Agenda.Marked.insert(Group);
  if (DecidePosted)
    return;
  DecidePosted = true;
  Context.Loop.post([this] {
    DecidePosted = false;
    if (Leading)
      decideOn(takeMarked(Agenda));
  });
}

void control_service::state::decideAllSoon() {
  for (const auto &[Name, Group] : Replicated.Groups)
    decideSoon(Name);
}

void control_service::state::decideOn(const std::vector<group_id> &Groups) {
  for (const auto &Name : Groups) {
    auto Group = Replicated.Groups.find(Name);
    if (Group == Replicated.Groups.end())
      continue;
    SeenProposals.clear();
    decide(Group->second);
    noteProposals(Name, SeenProposals);
    noteSettled(Agenda, Name,
                isSettled(Group->second, Leader, Settings, now()));
  }
}

void control_service::state::decide(const group_state &Group) {
  if (Committing.contains(Group.Group))
    return;
  bool Pauses = Settings.Method == promotion_method::Pause;
  auto Decision = Pauses ? decidePausePromotion(Group, Leader, Settings, now())
                         : decidePromotion(Group, Leader, Settings, now());
  Leader.Orders[Group.Group].Waiting = Decision.Waiting;
  carryOut(Group, Decision);
  if (Decision.Next)
    return;
  auto Cleaning = Pauses ? decidePauseCleaning(Group, Leader)
                         : decideCleaning(Group, Leader, Settings);
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
    sendFences(Group, Decision.Fences, Decision.PauseTerm);
  if (Decision.Resume)
    sendResume(Group);
  if (Decision.Order)
    callPlatform(Group, *Decision.Order);
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
  if (Settings.Method == promotion_method::Pause && Kind != "assign")
    noteAttempt(Next, Leader);
  propose(makeGroupCommand(Next),
          [this, Name = Next.Group, Term = Leadership](proposal_outcome) {
            if (Term != Leadership)
              return;
            Committing.erase(Name);
            decideSoon(Name);
          });
}

void control_service::state::noteProposals(const group_id &Group,
                                           const std::vector<proposal> &Seen) {
  // No decision was made on a group whose last change is not committed yet.
  if (Committing.contains(Group))
    return;
  std::map<std::string, proposal> Before;
  for (auto Entry = Leader.Proposals.begin();
       Entry != Leader.Proposals.end();) {
    auto Here = Entry++;
    if (Here->second.Group == Group)
      Before.insert(Leader.Proposals.extract(Here));
  }
  for (const auto &Proposal : Seen) {
    if (!Before.contains(Proposal.Id))
      event("control.proposed")
          .with("id", Proposal.Id)
          .with("reason", Proposal.Reason);
    Leader.Proposals[Proposal.Id] = Proposal;
  }
}

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
                                        const std::vector<gateway_run> &Runs,
                                        term PauseTerm) {
  wire::fence Fence;
  Fence.pause_term = static_cast<std::int64_t>(PauseTerm.Value);
  Fence.group = Group.Group.Value;
  Fence.term = static_cast<std::int64_t>(Group.Term.Value);
  time_point At = now();
  for (const auto &Run : Runs) {
    auto Request = Hub.nextRequest();
    if (!sendTo(Run, message_kind(FenceKind), Request, encode(Fence)))
      continue;
    Fences[Request] = {Group.Group, Run, At};
  }
  if (PauseTerm != term())
    notePausesSent(Group, Leader, Runs, At);
  else
    noteFencesSent(Group, Leader, Runs, At);
}

void control_service::state::sendResume(const group_state &Group) {
  wire::resume Resume;
  Resume.group = Group.Group.Value;
  for (const auto &Share : Group.Gateways)
    sendTo({Share.Vm, Share.Incarnation}, message_kind(ResumeKind),
           Hub.nextRequest(), encode(Resume));
}

void control_service::state::callPlatform(const group_state &Group,
                                          const promotion_order &Order) {
  noteOrderSentToPlatform(Group, Leader, now());
  event("control.platform_asked")
      .with("group", Order.Group.Value)
      .with("upstream", Order.Upstream.Value)
      .with("token", Order.FencingToken.Value)
      .with("attempt", static_cast<std::uint64_t>(Group.Promotion->Attempt));
  OrderPromotion(
      Order, [this, Order, Term = Leadership,
              Attempt = Group.Promotion->Attempt](promotion_answer Answer) {
        constexpr const char *Names[] = {"accepted", "refused", "unknown"};
        event("control.platform_answered")
            .with("group", Order.Group.Value)
            .with("upstream", Order.Upstream.Value)
            .with("token", Order.FencingToken.Value)
            .with("answer", Names[static_cast<int>(Answer)]);
        auto Known = Replicated.Groups.find(Order.Group);
        if (Term != Leadership || Known == Replicated.Groups.end())
          return;
        takePlatformAnswer(Known->second, Leader, Attempt, Answer);
        decideSoon(Order.Group);
      });
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
  if (News.active())
    return;
  duration Since = now() - NewsToldAt;
  News = Context.Timers.after(std::max(duration::zero(), NewsPeriod - Since),
                              [this] {
                                NewsToldAt = now();
                                if (Leading)
                                  nudgeBehind();
                              });
}

void control_service::state::nudgeBehind() {
  for (const auto &[Name, Vm] : Leader.Vms)
    if (Vm.Applied < Replicated.Index.LatestChange) {
      // An earlier nudge must not delay this one.
      NudgedAt.erase(Name);
      nudge(Name);
    }
}

} // namespace teasellock
