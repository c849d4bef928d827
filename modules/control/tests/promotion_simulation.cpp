#include "modules/control/tests/promotion_simulation.h"
#include "modules/control/promotion_orders.h"

#include <algorithm>

namespace teasellock::testing {

namespace {

constexpr std::size_t MaxMessages = 8;

std::string upstreamName(int Upstream) {
  return "u" + std::to_string(Upstream);
}

int upstreamNumber(const upstream_id &Upstream) {
  return Upstream.Value[1] - '0';
}

} // namespace

promotion_simulation::promotion_simulation(promotion_rules Rules,
                                           bool FollowedTerm)
    : FollowedTerm(FollowedTerm) {
  Settings.Rules = Rules;
  Leader.LeadingSince = Now;
  table_row Row;
  Row.Group = group_id("g");
  commit(makeEditCommand(edit_id("e"), table_version(), {Row}));
  for (int I = 0; I < 3; ++I) {
    upstream_announcement Upstream;
    Upstream.Group = Row.Group;
    Upstream.Upstream = upstream_id(upstreamName(I));
    Upstream.Address = {"10.0.0.1", 1};
    Upstream.Connections = 10;
    Upstream.Slots = 4;
    commit(makeAnnouncementCommand(Upstream));
  }
  Upstreams[0].Replica = false;
  for (std::size_t I = 0; I < Gateways.size(); ++I) {
    Gateways[I].Member.Self = vm_id("g" + std::to_string(I));
    Gateways[I].Member.Incarnation = incarnation(NextIncarnation++);
    registerVm(Gateways[I]);
  }
  for (int Round = 0; Round < 8; ++Round)
    for (auto &Gateway : Gateways) {
      Now += fromMilliseconds(10);
      renew(Gateway, false);
    }
}

position promotion_simulation::positionOf(int Upstream) const {
  const auto &Log = Upstreams[Upstream].Log;
  auto Term = FollowedTerm ? Upstreams[Upstream].Follows : Log.back().Term;
  return {term(Term), Log.size()};
}

std::vector<wire::upstream_report>
promotion_simulation::probe(const gateway &Gateway) const {
  std::vector<wire::upstream_report> Reports;
  for (int I = 0; I < 3; ++I) {
    wire::upstream_report Report;
    Report.upstream = upstreamName(I);
    bool Failed = PrimaryFails && !Upstreams[I].Replica;
    Report.reachable = Gateway.ReachableUpstreams[I] && !Failed;
    Report.refused = Failed;
    Report.unreachable_ms = Report.reachable ? 0 : 1000;
    Report.replica = Upstreams[I].Replica;
    Report.replayed = toWire(positionOf(I));
    Reports.push_back(Report);
  }
  return Reports;
}

const group_view *promotion_simulation::viewOf(const gateway &Gateway) const {
  auto View = Gateway.Member.Views.find(group_id("g"));
  return View == Gateway.Member.Views.end() ? nullptr : &View->second;
}

/// Returns the primary that this gateway may write to, or -1.
int promotion_simulation::primaryOf(const gateway &Gateway) const {
  const auto *View = viewOf(Gateway);
  if (!Gateway.Alive || !View || !View->Primary ||
      View->Term.Value <= Gateway.FencedTerm)
    return -1;
  for (const auto &Share : View->Gateways)
    if (Share.Vm == Gateway.Member.Self)
      return upstreamNumber(*View->Primary);
  return -1;
}

void promotion_simulation::commit(const wire::control_command &Command) {
  applyCommand(State, revision(++Index), Command);
}

void promotion_simulation::registerVm(const gateway &Gateway) {
  vm_record Vm;
  Vm.Vm = Gateway.Member.Self;
  Vm.Incarnation = Gateway.Member.Incarnation;
  Vm.Address = {"10.0.0.2", 2};
  commit(makeVmCommand(Vm));
  decide();
}

promotion_simulation::gateway *
promotion_simulation::find(const gateway_incarnation &Id) {
  for (auto &Gateway : Gateways)
    if (Gateway.Alive && Gateway.Member.Self == Id.first &&
        Gateway.Member.Incarnation == Id.second)
      return &Gateway;
  return nullptr;
}

void promotion_simulation::decide() {
  constexpr int MaxDecisions = 8;
  for (int I = 0; I < MaxDecisions; ++I) {
    auto Decision = decidePromotion(group(), Leader, Settings, Now);
    if (!Decision.FenceTargets.empty()) {
      for (const auto &Recipient : Decision.FenceTargets)
        if (Messages.size() < MaxMessages)
          Messages.push_back({Recipient, group().Term.Value, Now, {}});
      recordFencesSent(group(), Leader, Decision.FenceTargets, Now);
    }
    if (Decision.Promoter && find(*Decision.Promoter)) {
      recordOrderSent(group(), Leader, Now);
      promote(group());
    }
    if (!Decision.Next)
      Decision = decideDirtyClearing(group(), Leader, Settings);
    if (!Decision.Next)
      Decision = decideAssignment(State, group(), Leader, Settings, Now);
    if (!Decision.Next)
      return;
    commit(makeGroupCommand(*Decision.Next));
    if (Decision.Kind == "promoted")
      PrimaryFails = false;
  }
}

void promotion_simulation::promote(const group_state &Group) {
  int Chosen = upstreamNumber(*Group.Promotion->Chosen);
  auto &Upstream = Upstreams[Chosen];
  if (Upstream.Follows != Group.Term.Value) {
    ++Promotions;
    Upstream.Follows = Group.Term.Value;
    Upstream.Replica = false;
    Upstream.Log.push_back({Group.Term.Value, -1});
  }
  wire::promote_reply Reply;
  Reply.group = "g";
  Reply.upstream = Group.Promotion->Chosen->Value;
  Reply.term = static_cast<std::int64_t>(Group.Term.Value);
  Reply.done = true;
  recordPromoteReply(Group, Leader, Reply);
}

void promotion_simulation::renew(gateway &Gateway, bool LoseReply) {
  if (!Gateway.Alive)
    return;
  wire::renewal Renewal;
  Renewal.vm = Gateway.Member.Self.Value;
  Renewal.incarnation =
      static_cast<std::int64_t>(Gateway.Member.Incarnation.Value);
  Renewal.address = "10.0.0.2:2";
  Renewal.applied_revision =
      static_cast<std::int64_t>(Gateway.Member.Applied.Value);
  Renewal.sent_at_us = Now.time_since_epoch().count();
  if (const auto *View = viewOf(Gateway)) {
    wire::group_report Report;
    Report.group = "g";
    Report.term = static_cast<std::int64_t>(View->Term.Value);
    Report.acknowledged = toWire(Gateway.Highest);
    Report.upstreams = probe(Gateway);
    for (const auto &Share : View->Gateways)
      if (Share.Vm == Gateway.Member.Self)
        Renewal.groups = {Report};
  }
  auto Verdict = processRenewal(State, Leader, Renewal, Settings, Now);
  auto Reply = changesSince(State, Gateway.Member.Applied);
  decide();
  if (Verdict != renewal_verdict::Granted || LoseReply)
    return;
  Reply.granted = true;
  Reply.lease_ms = toMilliseconds(Settings.LeaseTime);
  auto Before = primaryOf(Gateway);
  applyRenewalReply(Gateway.Member, Reply, Now);
  if (primaryOf(Gateway) != Before)
    Gateway.Pending.clear();
}

void promotion_simulation::write(gateway &Gateway) {
  int Primary = primaryOf(Gateway);
  if (Primary < 0 || !isLeaseValid(Gateway.Member, Now) ||
      Upstreams[Primary].Follows != viewOf(Gateway)->Term.Value)
    return;
  auto &Log = Upstreams[Primary].Log;
  Log.push_back({Upstreams[Primary].Follows, Writes});
  Gateway.Pending.push_back(
      {Writes++, {term(Upstreams[Primary].Follows), Log.size()}, Primary});
}

void promotion_simulation::acknowledge(gateway &Gateway) {
  if (primaryOf(Gateway) < 0 || !isLeaseValid(Gateway.Member, Now))
    return;
  std::erase_if(Gateway.Pending, [&](const pending_write &Write) {
    bool Flushed = false;
    for (int I = 0; I < 3; ++I)
      Flushed |= I != Write.Primary &&
                 Upstreams[I].Log.back().Term == Write.At.Term.Value &&
                 Upstreams[I].Log.size() >= Write.At.Offset;
    if (Flushed) {
      Acknowledged.insert(Write.Id);
      Gateway.Highest = std::max(Gateway.Highest, Write.At);
    }
    return Flushed;
  });
}

void promotion_simulation::crash(gateway &Gateway) {
  Gateway.Alive = false;
  Gateway.Pending.clear();
}

void promotion_simulation::restart(gateway &Gateway) {
  if (Gateway.Alive)
    return;
  vm_id Self = Gateway.Member.Self;
  Gateway = {};
  Gateway.Member.Self = Self;
  Gateway.Member.Incarnation = incarnation(NextIncarnation++);
  registerVm(Gateway);
}

/// Replicates one record between a pair of upstreams, if one can replicate.
void promotion_simulation::replicate(std::uint32_t Choice) {
  constexpr std::uint32_t Pairs = 6;
  for (std::uint32_t I = 0; I < Pairs; ++I) {
    std::uint32_t Pair = (Choice + I) % Pairs;
    const auto &Source = Upstreams[Pair % 3];
    auto &Target = Upstreams[(Pair % 3 + 1 + Pair / 3) % 3];
    if (Source.Replica || !Target.Replica || Source.Follows != Target.Follows ||
        Target.Log.size() >= Source.Log.size() ||
        !std::equal(Target.Log.begin(), Target.Log.end(), Source.Log.begin()))
      continue;
    Target.Log.push_back(Source.Log[Target.Log.size()]);
    return;
  }
}

/// Makes an upstream of an older term follow the current primary.
void promotion_simulation::rejoin(std::uint32_t Choice) {
  if (!group().Primary)
    return;
  int Primary = upstreamNumber(*group().Primary);
  int Number = static_cast<int>(Choice % 3);
  auto &Upstream = Upstreams[Number];
  if (Number == Primary || Upstream.Follows >= Upstreams[Primary].Follows)
    return;
  auto [End, Other] = std::mismatch(Upstream.Log.begin(), Upstream.Log.end(),
                                    Upstreams[Primary].Log.begin(),
                                    Upstreams[Primary].Log.end());
  Upstream.Log.erase(End, Upstream.Log.end());
  Upstream.Follows = Upstreams[Primary].Follows;
  Upstream.Replica = true;
}

void promotion_simulation::answerFence(fence_message &Message) {
  auto *Gateway = find(Message.Recipient);
  wire::fence_reply Reply;
  Reply.group = "g";
  Reply.term = static_cast<std::int64_t>(Message.Term);
  Gateway->FencedTerm = std::max(Gateway->FencedTerm, Message.Term);
  Gateway->Pending.clear();
  Reply.acknowledged = toWire(Gateway->Highest);
  Reply.upstreams = probe(*Gateway);
  Message.Reply = Reply;
}

/// Delivers a fence to its gateway or a reply to control. Drops a fence whose
/// gateway has ended.
void promotion_simulation::deliver(std::uint32_t Choice) {
  if (Messages.empty())
    return;
  auto Message = Messages.begin() + Choice % Messages.size();
  if (Message->Reply) {
    recordFenceReply(group(), Leader, Message->Recipient, *Message->Reply,
                     Message->FenceSentAt);
    Messages.erase(Message);
    decide();
    return;
  }
  if (!find(Message->Recipient)) {
    Messages.erase(Message);
    return;
  }
  answerFence(*Message);
}

void promotion_simulation::step(std::uint32_t Choice) {
  auto &Gateway = Gateways[Choice & 1];
  std::uint32_t Detail = Choice >> 8;
  switch ((Choice >> 1) % 24) {
  case 0:
  case 1:
  case 2:
    return write(Gateway);
  case 3:
  case 4:
  case 5:
    return acknowledge(Gateway);
  case 6:
  case 7:
  case 8:
  case 9:
    return replicate(Detail);
  case 10:
    return rejoin(Detail);
  case 11:
  case 12:
  case 13:
    return renew(Gateway, Detail % 8 == 0);
  case 14:
  case 15:
  case 16:
  case 17:
    return deliver(Detail);
  case 18:
    if (Detail % 3 == 0)
      crash(Gateway);
    return;
  case 19:
    return restart(Gateway);
  case 20:
    Gateway.ReachableUpstreams[Detail % 3] =
        !Gateway.ReachableUpstreams[Detail % 3];
    return;
  case 21:
    PrimaryFails = group().Primary.has_value();
    return;
  case 22: {
    constexpr std::array Spans{20, 100, 400, 1000, 2300};
    Now += fromMilliseconds(Spans[Detail % Spans.size()]);
    return decide();
  }
  default:
    if (Detail % 16 == 0) {
      Leader = leader_state();
      Leader.LeadingSince = Now;
    }
    return decide();
  }
}

std::optional<int> promotion_simulation::lostWrite() const {
  if (!group().Primary)
    return std::nullopt;
  const auto &Log = Upstreams[upstreamNumber(*group().Primary)].Log;
  for (int Id : Acknowledged)
    if (std::none_of(Log.begin(), Log.end(),
                     [&](const log_record &Record) { return Record.Id == Id; }))
      return Id;
  return std::nullopt;
}

} // namespace teasellock::testing
