#include "modules/control/tests/pause_simulation.h"

#include "modules/control/open_orders.h"
#include "modules/control/pause_answers.h"
#include "modules/control/pause_progress.h"

#include <algorithm>

namespace teasellock {

pause_simulation::pause_simulation(std::uint64_t Seed, const pause_rules &Rules,
                                   const scenario &Scenario,
                                   const gateway_rules &GatewayRules)
    : Random(Seed), Rules(Rules), Scenario(Scenario),
      Upstreams(Scenario.Replaces ? ReplacedCount
                : Scenario.HasUnknownReplica || Scenario.ReplicaJoins ||
                        Scenario.LosesAnnouncements || Scenario.ControlRestarts
                    ? KnownCount + 1
                    : KnownCount) {
  Group.Group = group_id("g");
  Group.Removed = false;
  Group.Row.AckReplicas = 1;
  Group.Term = term(1);
  Group.Primary = name(0);
  for (std::size_t Number = 0; Number < GatewayCount; ++Number) {
    gateway_share Share;
    Share.Vm = vm_id("gateway" + std::to_string(Number));
    Share.Address = {"10.0.1." + std::to_string(Number), 7000};
    Share.Incarnation = incarnation(1);
    Group.Gateways.push_back(Share);
    Gateways.emplace_back(Share.Vm.Value, GatewayRules);
  }
  for (std::size_t Id = 0; Id < Upstreams.size(); ++Id)
    Upstreams[Id].Incarnation = Upstreams[Id].Process = 1;
  for (std::size_t Id = 0; Id < KnownCount; ++Id)
    announce(Id);
  for (std::size_t Id = KnownCount; Id < Upstreams.size(); ++Id) {
    Upstreams[Id].IsUnused = Scenario.Replaces;
    Upstreams[Id].Alive = !Scenario.ReplicaJoins && !startsReplica();
  }
  for (auto &Gateway : Gateways) {
    renew(Gateway);
    for (std::size_t Id = 0; Id < KnownCount; ++Id)
      query(Gateway, Id);
  }
  reportAll();
}

bool pause_simulation::losesCommit(int Steps) {
  for (int Step = 0; Step < Steps && !Lost; ++Step)
    step();
  return Lost;
}

std::optional<duration> pause_simulation::settlingTime() {
  for (std::size_t Id = 0; Id < Upstreams.size(); ++Id)
    if (!Upstreams[Id].Alive)
      revive(Id);
  if (Scenario.PrimaryIsLost)
    Upstreams[PrimaryNumber].Alive = false;
  time_point Begin = Now;
  std::size_t Before = Acknowledged.size();
  for (int Turn = 0; Now - Begin < maxSettlingTime() && !Lost; ++Turn) {
    settle(Turn % TurnsPerHeartbeat == 0);
    if (Acknowledged.size() > Before && Group.Primary &&
        Group.Primary == name(PrimaryNumber))
      return Now - Begin;
  }
  return std::nullopt;
}

duration pause_simulation::maxSettlingTime() const {
  return Settings.PromotionTimeout + Settings.OrderEffectTimeout +
         fromMilliseconds(PromotionMs) +
         (Scenario.PrimaryIsLost || Scenario.Replaces
              ? Settings.UpstreamLossTimeout
              : Settings.StuckPromotionTimeout);
}

void pause_simulation::settle(bool Announces) {
  advanceTime(10);
  carryOutPromotions();
  for (std::size_t Id = 0; Id < Upstreams.size(); ++Id) {
    if (Announces && Upstreams[Id].Alive)
      announce(Id);
    replicate(Id, EntriesPerTurn);
  }
  for (auto &Gateway : Gateways) {
    Gateway.CutOffUntil = {};
    Gateway.receiveConfirmations();
    for (std::size_t Id = 0; Id < Upstreams.size(); ++Id)
      query(Gateway, Id);
    if (Announces)
      renew(Gateway);
    answerCommits(Gateway);
  }
  for (const auto &Order : std::exchange(Orders, {}))
    execute(Order);
  decide();
  deliverReplies();
  if (Group.Primary == name(PrimaryNumber))
    commit();
}

upstream_id pause_simulation::name(std::size_t Id) const {
  return upstream_id("u" + std::to_string(Id) + "." +
                     std::to_string(Upstreams[Id].Life));
}

std::size_t pause_simulation::numberOf(const upstream_id &Id) {
  return static_cast<std::size_t>(Id.Value[1] - '0');
}

void pause_simulation::advanceTime(std::int64_t Milliseconds) {
  Now += fromMilliseconds(Milliseconds);
}

void pause_simulation::announce(std::size_t Id) {
  upstream_announcement Announcement;
  Announcement.Group = Group.Group;
  Announcement.Upstream = name(Id);
  Announcement.Address = {"10.0.0." + std::to_string(Id + 1), 5432};
  Announcement.Incarnation = incarnation(Upstreams[Id].Incarnation);
  Announcement.Leaving = (Scenario.PrimaryLeaves && Id == PrimaryNumber) ||
                         Upstreams[Id].EndsAt.has_value();
  Announcement.ClaimsPrimary =
      (Scenario.ChangesIds || Scenario.Replaces) && Id == PrimaryNumber;
  apply(makeAnnouncementCommand(Announcement));
  Leader.LastAnnouncements[{Group.Group, name(Id)}] = {Announcement.Incarnation,
                                                       Now};
}

void pause_simulation::apply(const wire::control_command &Command) {
  control_state State;
  State.Groups[Group.Group] = Group;
  applyCommand(State, revision(++Index), Command);
  Group = State.Groups[Group.Group];
}

void pause_simulation::reportAll() {
  for (const auto &Gateway : Gateways)
    if (!isCutOff(Gateway))
      report(Gateway);
}

void pause_simulation::report(const simulated_gateway &Gateway) {
  auto &Vm = Leader.Vms[vm_id(Gateway.Vm)];
  Vm.Incarnation = incarnation(1);
  Vm.LastReceivedAt = Now;
  auto &Report = Vm.Groups[Group.Group];
  Report.ReceivedAt = Now;
  Report.SentAtUs = Now.time_since_epoch().count();
  Report.Acknowledged = Gateway.acknowledged();
  Report.Upstreams.clear();
  for (std::size_t Id = 0; Id < Upstreams.size(); ++Id) {
    const auto &Upstream = Upstreams[Id];
    if (!Group.Upstreams.contains(name(Id)))
      continue;
    upstream_observation Seen;
    Seen.Upstream = name(Id);
    Seen.Reachable = Upstream.Alive;
    Seen.IsReplica = Id != PrimaryNumber || PrimaryDemoted;
    Seen.UnreachableTime = Upstream.Alive ? duration() : fromMilliseconds(5000);
    Seen.Received = Seen.Replayed = endOf(Upstream.Log);
    Seen.Paused = Upstream.Paused;
    if (!Seen.IsReplica)
      Seen.Replayed.Term = term(PrimaryTerm);
    Report.Upstreams[Seen.Upstream] = Seen;
  }
  for (const auto &[Id, Upstream] : Group.Upstreams)
    if (Id != name(numberOf(Id))) {
      auto &Former = Report.Upstreams[Id];
      Former.Upstream = Id;
      Former.UnreachableTime = fromMilliseconds(5000);
    }
  auto &Orders = Leader.Orders[Group.Group];
  if (Orders.DirtySince != Group.DirtySince) {
    Orders.DirtySince = Group.DirtySince;
    Orders.DirtyAppliedAtUs.clear();
  }
  Orders.DirtyAppliedAtUs.try_emplace(
      gateway_incarnation(vm_id(Gateway.Vm), incarnation(1)),
      Report.SentAtUs - 1);
}

void pause_simulation::renew(simulated_gateway &Gateway) {
  if (!isCutOff(Gateway) && Now >= ControlUpAt)
    Gateway.applyView(viewOf(Group), Now);
}

void pause_simulation::query(simulated_gateway &Gateway, std::size_t Id) {
  const auto &Upstream = Upstreams[Id];
  if (!Upstream.Alive || !Gateway.knows(name(Id)))
    return;
  bool IsReplica = Id != PrimaryNumber || PrimaryDemoted;
  Gateway.recordAnswer(
      {name(Id), Upstream.Process, IsReplica, endOf(Upstream.Log)}, Now);
}

void pause_simulation::answerCommits(simulated_gateway &Gateway) {
  for (auto &Log : Gateway.answerCommits()) {
    std::size_t Same = commonPrefixLength(Log, Acknowledged);
    // Either what is acknowledged now was not in the log that was promoted, or
    // what was acknowledged before is not in the log that continues it.
    bool Diverges = Same < std::min(Log.size(), Acknowledged.size());
    bool IsMissing = Log.back().first < PrimaryTerm &&
                     commonPrefixLength(Log, PromotedLog) < Log.size();
    Lost = Lost || Diverges || IsMissing;
    if (Log.size() > Acknowledged.size())
      Acknowledged = std::move(Log);
  }
}

void pause_simulation::stepGateway() {
  auto &Gateway = Gateways[pick(Gateways.size())];
  switch (pick(8)) {
  case 0:
    if (pick(20) == 0)
      Gateway.CutOffUntil =
          Now +
          fromMilliseconds(static_cast<std::int64_t>(pick(MaxGatewayCutMs)));
    break;
  case 1:
    if (pick(40) == 0)
      Gateway.restart();
    break;
  case 2:
    renew(Gateway);
    break;
  case 3:
    // Control pushes the view without a renewal.
    if (!isCutOff(Gateway))
      Gateway.applyView(viewOf(Group), std::nullopt);
    break;
  case 4:
    Gateway.receiveConfirmations();
    break;
  default:
    query(Gateway, pick(Upstreams.size()));
    break;
  }
  answerCommits(Gateway);
}

void pause_simulation::commit() {
  auto &Primary = Upstreams[PrimaryNumber];
  auto &Gateway = Gateways[pick(Gateways.size())];
  if (!Primary.Alive || PrimaryDemoted || !Gateway.knows(name(PrimaryNumber)) ||
      !Gateway.mayWriteTo(term(PrimaryTerm)))
    return;
  Primary.Log.push_back({PrimaryTerm, Primary.Log.size() + 1});
  Gateway.send(Primary.Log.back());
}

void pause_simulation::replicate(std::size_t Id, std::size_t MaxEntries) {
  auto &Replica = Upstreams[Id];
  const auto &Primary = Upstreams[PrimaryNumber];
  if (Id == PrimaryNumber || Replica.Paused || !Replica.Alive || !Primary.Alive)
    return;
  std::size_t Same = commonPrefixLength(Replica.Log, Primary.Log);
  Replica.Log.resize(Same);
  std::size_t End = Same + (Scenario.Replaces ? EntriesPerTurn : MaxEntries);
  for (; Same < Primary.Log.size() && Same < End; ++Same)
    Replica.Log.push_back(Primary.Log[Same]);
  // The primary confirms commits of its own term once one replica has them.
  // Nobody waits for entries of earlier terms; the first commit of its own term
  // covers them.
  if (Replica.Log.empty() || Replica.Log.back().first != PrimaryTerm)
    return;
  for (auto &Gateway : Gateways)
    Gateway.confirm(Primary.Log, Replica.Log.back(), name(PrimaryNumber),
                    pick(4) != 0);
}

void pause_simulation::announceInTime(std::size_t Id) {
  Upstreams[Id].NextAnnouncementAt = Now + Settings.AnnouncementInterval;
  if (Now >= ControlUpAt)
    announce(Id);
}

bool pause_simulation::hasCandidate() const {
  position Known = acknowledgedPosition(Group, Leader);
  return std::any_of(Upstreams.begin(), Upstreams.end(), [&](const auto &Each) {
    return Each.Alive && !Each.Log.empty() && endOf(Each.Log) >= Known;
  });
}

void pause_simulation::replaceUpstreams() {
  for (std::size_t Id = 0; Id < Upstreams.size(); ++Id) {
    auto &Upstream = Upstreams[Id];
    if (!Upstream.EndsAt || Now < *Upstream.EndsAt)
      continue;
    upstream_announcement Departure;
    Departure.Group = Group.Group;
    Departure.Upstream = name(Id);
    Departure.Address = {"10.0.0." + std::to_string(Id + 1), 5432};
    Departure.Incarnation = incarnation(Upstream.Incarnation);
    Departure.Gone = true;
    if (pick(2) == 0)
      apply(makeAnnouncementCommand(Departure));
    Upstream.EndsAt.reset();
    Upstream.Alive = false;
    Upstream.IsUnused = true;
    Upstream.Log.clear();
  }
  if (Now < NextReplacementAt)
    return;
  NextReplacementAt = Now + fromMilliseconds(ReplacementMs);
  // The place of a primary that has ended stays empty until another one leads.
  auto Free =
      std::find_if(Upstreams.begin(), Upstreams.end(), [&](const auto &Each) {
        return Each.IsUnused && &Each != &Upstreams[PrimaryNumber];
      });
  upstream *Oldest = nullptr;
  for (auto &Each : Upstreams)
    if (Each.Alive && !Each.EndsAt &&
        (!Oldest || Each.StartedAt < Oldest->StartedAt))
      Oldest = &Each;
  if (Free == Upstreams.end() || !Oldest)
    return;
  Free->IsUnused = false;
  Free->Alive = true;
  Free->Paused = false;
  ++Free->Life;
  // A later process never has an earlier start time.
  Free->Incarnation = static_cast<std::uint64_t>(++Replacements) + 1;
  Free->StartedAt = Now;
  ++Free->Process;
  announceInTime(static_cast<std::size_t>(Free - Upstreams.begin()));
  Oldest->EndsAt = Now + fromMilliseconds(DrainMs);
  announceInTime(static_cast<std::size_t>(Oldest - Upstreams.data()));
}

void pause_simulation::announceAll() {
  for (std::size_t Id = 0; Id < Upstreams.size(); ++Id)
    if (Upstreams[Id].Alive && Now >= Upstreams[Id].NextAnnouncementAt)
      announceInTime(Id);
}

void pause_simulation::changeLeader() {
  auto Announced = Leader.LastAnnouncements;
  Leader = leader_state();
  Leader.LastAnnouncements = Announced;
  if (Scenario.ControlRestarts) {
    ControlUpAt = Now + fromMilliseconds(
                            static_cast<std::int64_t>(pick(MaxControlDownMs)));
    for (auto &Gateway : Gateways)
      Gateway.restart();
  }
  Leader.LeadingSince = std::max(Now, ControlUpAt);
}

void pause_simulation::revive(std::size_t Id) {
  auto &Upstream = Upstreams[Id];
  if (Upstream.Alive || Upstream.IsUnused)
    return;
  Upstream.Alive = true;
  ++Upstream.Process;
  if (Scenario.LosesAnnouncements && pick(2) == 0)
    Upstream.NextAnnouncementAt = Now + fromMilliseconds(AnnouncementRetryMs);
  else if (startsReplica())
    announceInTime(Id);
  if (!Scenario.ChangesIds)
    return;
  ++Upstream.Life;
  ++Upstream.Incarnation;
  Upstream.Paused = false;
  Upstream.StartedAt = Now;
}

void pause_simulation::restart(std::size_t Id) {
  auto &Upstream = Upstreams[Id];
  // Not covered by the rule: more logs are lost than replicas are waited for,
  // and a replica starts again between its last answer and the order that is
  // sent then. The order names it by its id, so nothing could tell.
  const auto *Sent = orderProgressOf(Group, Leader);
  bool HasJustAnswered =
      Sent && Upstream.LastPausedAt > Sent->SentAt &&
      Now - Upstream.LastPausedAt < fromMilliseconds(AnnouncementRetryMs);
  bool IsChosen = Scenario.RestartsChosen && Group.Promotion &&
                  Group.Promotion->Chosen == name(Id) && Sent &&
                  Sent->SentNumber == Group.OrderNumber && !HasJustAnswered;
  if (Id == PrimaryNumber || (Group.Promotion && !IsChosen) ||
      Scenario.ChangesIds || Scenario.Replaces)
    return;
  Upstream.Log.clear();
  Upstream.Paused = false;
  ++Upstream.Incarnation;
  ++Upstream.Process;
  Upstream.StartedAt = Now;
}

void pause_simulation::catchUp() {
  if (!Scenario.Replaces)
    return;
  for (std::size_t Id = 0; Id < Upstreams.size(); ++Id)
    replicate(Id);
}

void pause_simulation::pause(simulated_gateway &Gateway,
                             const std::optional<upstream_id> &DemotionTarget,
                             term PauseTerm) {
  // Upstreams accept only a term above the newest one, and tell it otherwise.
  PauseTerm = std::max(PauseTerm, term(Gateway.ReportedTerm + 1));
  bool IsAccepted = PauseTerm.Value > PrimaryTerm;
  Gateway.ReportedTerm = PrimaryTerm;
  Gateway.closeFence(term(PauseTerm.Value - 1), Group.Revision);
  pending_reply Pending;
  Pending.Gateway = static_cast<std::size_t>(&Gateway - Gateways.data());
  Pending.FenceSentAt = Now;
  Pending.IsLate = pick(6) == 0;
  auto &Reply = Pending.Reply;
  Reply.group = Group.Group.Value;
  Reply.term = static_cast<std::int64_t>(Group.Term.Value);
  if (IsAccepted && DemotionTarget == name(PrimaryNumber) &&
      Gateway.knows(name(PrimaryNumber)) && Upstreams[PrimaryNumber].Alive &&
      !std::exchange(PrimaryDemoted, true))
    catchUp();
  for (std::size_t Id = 0; Id < Upstreams.size(); ++Id) {
    auto &Upstream = Upstreams[Id];
    bool IsDemoted = DemotionTarget == name(Id);
    bool Leads = Id == PrimaryNumber && !PrimaryDemoted;
    if (!Gateway.knows(name(Id)) || !IsAccepted || !Upstream.Alive || Leads ||
        (!IsDemoted && pick(3) == 0))
      continue;
    wire::upstream_report Seen;
    Seen.upstream = name(Id).Value;
    Seen.reachable = true;
    Seen.replica = true;
    Seen.received = toWire(endOf(Upstream.Log));
    Seen.paused = true;
    auto OpenedAt = Gateway.recordAnswer(
        {name(Id), Upstream.Process, !IsDemoted, endOf(Upstream.Log)}, Now);
    Seen.connection_age_ms = toMilliseconds(Now - OpenedAt);
    Upstream.LastPausedAt = Now;
    // Without the rule, the position was read before the pause.
    Upstream.Paused = Rules.RequirePause;
    Reply.upstreams.push_back(Seen);
  }
  Gateway.endPauses();
  answerCommits(Gateway);
  Reply.acknowledged =
      toWire(std::max(Gateway.acknowledged(), Gateway.covered()));
  Replies.push_back(std::move(Pending));
}

void pause_simulation::deliverReplies() {
  for (auto &Pending : std::exchange(Replies, {})) {
    if (isCutOff(Gateways[Pending.Gateway]) || Now < ControlUpAt)
      continue;
    if (Pending.IsLate && pick(4) != 0)
      Replies.push_back(std::move(Pending));
    else
      recordPauseReply(Group, Leader, Pending.Reply, Pending.FenceSentAt, Now);
  }
}

std::uint64_t pause_simulation::processOf(const promotion_order &Order) const {
  return Upstreams[numberOf(Order.Upstream)].Process;
}

void pause_simulation::execute(const order &Order) {
  std::size_t Id = Order.Upstream;
  if (Order.Token < Fence)
    return;
  Fence = Order.Token;
  if (!Upstreams[Id].Alive || Order.Name != name(Id) ||
      Order.Process != Upstreams[Id].Process) {
    recordPlatformAnswer(Group.Group, Leader, Order.Number,
                         promotion_answer::Refused, Now);
    return;
  }
  recordPlatformAnswer(Group.Group, Leader, Order.Number,
                       promotion_answer::Accepted, Now);
  // For the present primary nothing changes, now or later.
  if (Id != PrimaryNumber || PrimaryDemoted)
    AcceptedPromotions.push_back(
        {Id, Order.Name, Order.Process, Now + fromMilliseconds(PromotionMs)});
}

void pause_simulation::receiveOrders() {
  for (const auto &Order : std::exchange(Orders, {}))
    if (Order.IsLate)
      Orders.push_back(Order);
    else
      execute(Order);
}

void pause_simulation::carryOutPromotions() {
  while (!AcceptedPromotions.empty() &&
         AcceptedPromotions.front().DueAt <= Now) {
    auto Promotion = AcceptedPromotions.front();
    AcceptedPromotions.erase(AcceptedPromotions.begin());
    std::size_t Id = Promotion.Upstream;
    if (!Upstreams[Id].Alive || Promotion.Name != name(Id) ||
        Promotion.Process != Upstreams[Id].Process ||
        (Id == PrimaryNumber && !PrimaryDemoted))
      continue;
    PrimaryNumber = Id;
    PrimaryDemoted = false;
    ++PrimaryTerm;
    ++Promotions;
    PromotedLog = Upstreams[Id].Log;
    for (auto &Upstream : Upstreams)
      Upstream.Paused = false;
    Lost = Lost || commonPrefixLength(Upstreams[Id].Log, Acknowledged) <
                       Acknowledged.size();
  }
}

void pause_simulation::decide() {
  if (Now < ControlUpAt)
    return;
  reportAll();
  auto Cleaning = decidePauseDirtyClearing(Group, Leader);
  auto Decision = decidePausePromotion(Group, Leader, Settings, Now, Rules);
  if (!Decision.Next && Cleaning.Next)
    Decision.Next = Cleaning.Next;
  if (!Decision.FenceTargets.empty()) {
    recordPausesSent(Group, Leader, Decision.FenceTargets, Now);
    for (auto &Gateway : Gateways)
      if (!isCutOff(Gateway) &&
          std::count(Decision.FenceTargets.begin(), Decision.FenceTargets.end(),
                     gateway_incarnation(vm_id(Gateway.Vm), incarnation(1))))
        pause(Gateway, Decision.DemotionTarget, Decision.PauseTerm);
  }
  if (Decision.Order) {
    recordPlatformOrderSent(Group, Leader, Now);
    Orders.push_back({numberOf(Decision.Order->Upstream),
                      Decision.Order->FencingToken.Value, Group.OrderNumber,
                      Decision.Order->Upstream, processOf(*Decision.Order),
                      pick(10) == 0});
  }
  if (Decision.ShouldResume)
    for (auto &Upstream : Upstreams)
      Upstream.Paused = false;
  if (!Decision.Next)
    return;
  if (!Rules.CheckLateLeader && Decision.Next->Promotion)
    Decision.Next->Promotion->MayHaveLed = false;
  recordPausingBegins(Decision, Leader);
  recordOrderDecided(Decision, Leader);
  apply(makeGroupCommand(*Decision.Next));
}

void pause_simulation::step() {
  // While no upstream is being replaced, control hears of a replica before
  // that has confirmed a commit.
  if (Scenario.ReplicaJoins && !Group.Promotion &&
      Upstreams[KnownCount].Alive &&
      !Group.Upstreams.contains(name(KnownCount)))
    announce(KnownCount);
  advanceTime(static_cast<std::int64_t>(pick(30)));
  carryOutPromotions();
  deliverReplies();
  stepGateway();
  if (Scenario.Replaces) {
    replaceUpstreams();
    receiveOrders();
  }
  if (startsReplica())
    announceAll();
  std::size_t Id = pick(Upstreams.size());
  switch (pick(14)) {
  case 0:
    return commit();
  case 1:
  case 2:
  case 3:
  case 4:
    return replicate(Id);
  case 5:
    return pick(40) == 0 ? restart(Id) : replicate(Id);
  case 6:
    if (startsReplica())
      return;
    // Control hears of the further replica late, if at all.
    if (Group.Upstreams.contains(name(Id)) ||
        (Upstreams[Id].Alive && pick(20) == 0))
      announce(Id);
    return;
  case 7:
    if (pick(Scenario.Replaces ? 60 : 6) == 0 && Scenario.PrimaryCrashes &&
        (Id == PrimaryNumber || Scenario.ChangesIds || Scenario.Replaces))
      Upstreams[Id].Alive = false;
    return;
  case 8:
    if (Id < KnownCount || Scenario.HasUnknownReplica || startsReplica() ||
        Group.Promotion)
      revive(Id);
    return;
  case 9:
    if (Orders.empty())
      return;
    {
      std::size_t At = pick(Orders.size());
      order Order = Orders[At];
      Orders.erase(Orders.begin() + static_cast<std::ptrdiff_t>(At));
      return execute(Order);
    }
  case 10:
    if (pick(Scenario.Replaces ? 30 : 10) == 0)
      changeLeader();
    return;
  default:
    return decide();
  }
}

} // namespace teasellock
