#include "modules/control/tests/pause_simulation.h"

#include "modules/control/open_orders.h"
#include "modules/control/pause_answers.h"
#include "modules/control/pause_progress.h"

#include <algorithm>

namespace teasellock {

pause_simulation::pause_simulation(std::uint64_t Seed, const pause_rules &Rules,
                                   const scenario &Scenario)
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
  gateway_share Share;
  Share.Vm = vm_id("gateway");
  Share.Address = {"10.0.0.9", 7000};
  Share.Incarnation = incarnation(1);
  Group.Gateways.push_back(Share);
  for (std::size_t Id = 0; Id < Upstreams.size(); ++Id)
    Upstreams[Id].Incarnation = 1;
  for (std::size_t Id = 0; Id < KnownCount; ++Id)
    announce(Id);
  for (std::size_t Id = KnownCount; Id < Upstreams.size(); ++Id) {
    Upstreams[Id].IsUnused = Scenario.Replaces;
    Upstreams[Id].Alive = !Scenario.ReplicaJoins && !startsReplica();
  }
  report();
}

bool pause_simulation::losesCommit(int Steps) {
  for (int Step = 0; Step < Steps && !Lost && !hasStopped(); ++Step)
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
    replicate(Id);
  }
  for (const auto &Order : std::exchange(Orders, {}))
    execute(Order);
  decide();
  if (Group.Primary == name(PrimaryNumber))
    commit();
}

bool pause_simulation::hasStopped() const {
  return Scenario.StopsAtFailover && Rules.DemoteFirst && Group.Promotion &&
         !Group.Promotion->Planned;
}

upstream_id pause_simulation::name(std::size_t Id) const {
  return upstream_id("u" + std::to_string(Id) + "." +
                     std::to_string(Upstreams[Id].Life));
}

std::size_t pause_simulation::numberOf(const upstream_id &Id) {
  return static_cast<std::size_t>(Id.Value[1] - '0');
}

position pause_simulation::lastPosition(const upstream &Upstream) const {
  if (Upstream.Log.empty())
    return {};
  return {term(Upstream.Log.back().first), Upstream.Log.back().second};
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

void pause_simulation::report() {
  auto &Vm = Leader.Vms[vm_id("gateway")];
  Vm.Incarnation = incarnation(1);
  Vm.LastReceivedAt = Now;
  auto &Report = Vm.Groups[Group.Group];
  Report.ReceivedAt = Now;
  Report.SentAtUs = Now.time_since_epoch().count();
  Report.Acknowledged = AcknowledgedEnd;
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
    Seen.Received = Seen.Replayed = lastPosition(Upstream);
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
      gateway_incarnation(vm_id("gateway"), incarnation(1)),
      Report.SentAtUs - 1);
}

std::size_t
pause_simulation::commonPrefixLength(const std::vector<entry> &Left,
                                     const std::vector<entry> &Right) {
  std::size_t Same = 0;
  while (Same < Left.size() && Same < Right.size() && Left[Same] == Right[Same])
    ++Same;
  return Same;
}

void pause_simulation::commit() {
  auto &Primary = Upstreams[PrimaryNumber];
  if (Primary.Alive && !PrimaryDemoted &&
      mayWrite(WriteFence, term(PrimaryTerm)))
    Primary.Log.push_back({PrimaryTerm, Primary.Log.size() + 1});
}

void pause_simulation::replicate(std::size_t Id) {
  auto &Replica = Upstreams[Id];
  const auto &Primary = Upstreams[PrimaryNumber];
  if (Id == PrimaryNumber || Replica.Paused || !Replica.Alive || !Primary.Alive)
    return;
  std::size_t Same = commonPrefixLength(Replica.Log, Primary.Log);
  Replica.Log.resize(Same);
  std::size_t End = Same + (Scenario.Replaces ? EntriesPerTurn : 1);
  for (; Same < Primary.Log.size() && Same < End; ++Same)
    Replica.Log.push_back(Primary.Log[Same]);
  // The primary acknowledges commits of its own term once one replica has
  // them. Nobody waits for entries of earlier terms; the first commit of its
  // own term covers them.
  if (Replica.Log.size() > Acknowledged.size() &&
      Replica.Log.back().first == PrimaryTerm &&
      judgeCommit(WriteFence, lastPosition(Replica)) ==
          commit_verdict::Acknowledge) {
    Acknowledged = Replica.Log;
    AcknowledgedEnd = std::max(AcknowledgedEnd, lastPosition(Primary));
  }
}

void pause_simulation::announceInTime(std::size_t Id) {
  Upstreams[Id].NextAnnouncementAt = Now + Settings.AnnouncementInterval;
  if (Now >= ControlUpAt)
    announce(Id);
}

bool pause_simulation::hasCandidate() const {
  position Known = acknowledgedPosition(Group, Leader);
  return std::any_of(Upstreams.begin(), Upstreams.end(), [&](const auto &Each) {
    return Each.Alive && !Each.Log.empty() && lastPosition(Each) >= Known;
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
        (!Oldest || Each.ConnectedAt < Oldest->ConnectedAt))
      Oldest = &Each;
  if (Free == Upstreams.end() || !Oldest)
    return;
  Free->IsUnused = false;
  Free->Alive = true;
  Free->Paused = false;
  ++Free->Life;
  // A later process never has an earlier start time.
  Free->Incarnation = static_cast<std::uint64_t>(++Replacements) + 1;
  Free->ConnectedAt = Now;
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
    AcknowledgedEnd = {};
  }
  Leader.LeadingSince = std::max(Now, ControlUpAt);
}

void pause_simulation::revive(std::size_t Id) {
  auto &Upstream = Upstreams[Id];
  if (Upstream.Alive || Upstream.IsUnused)
    return;
  Upstream.Alive = true;
  if (Scenario.LosesAnnouncements && pick(2) == 0)
    Upstream.NextAnnouncementAt = Now + fromMilliseconds(AnnouncementRetryMs);
  else if (startsReplica())
    announceInTime(Id);
  if (!Scenario.ChangesIds)
    return;
  ++Upstream.Life;
  ++Upstream.Incarnation;
  Upstream.Paused = false;
  Upstream.ConnectedAt = Now;
}

void pause_simulation::restart(std::size_t Id) {
  auto &Upstream = Upstreams[Id];
  // Not covered by the rule: a paused replica restarts before the order is
  // executed, and more logs are lost than replicas are waited for.
  if (Id == PrimaryNumber || Group.Promotion || Scenario.ChangesIds ||
      Scenario.Replaces)
    return;
  Upstream.Log.clear();
  Upstream.Paused = false;
  ++Upstream.Incarnation;
  Upstream.ConnectedAt = Now;
}

void pause_simulation::catchUp() {
  if (!Scenario.Replaces)
    return;
  for (std::size_t Id = 0; Id < Upstreams.size(); ++Id)
    replicate(Id);
}

void pause_simulation::pause(const std::optional<upstream_id> &DemotionTarget,
                             term PauseTerm) {
  // Upstreams accept only a term above the newest one, and tell it otherwise.
  PauseTerm = std::max(PauseTerm, term(ReportedTerm + 1));
  bool IsAccepted = PauseTerm.Value > PrimaryTerm;
  ReportedTerm = PrimaryTerm;
  if (Rules.FenceGateways)
    closeWriteFence(WriteFence, term(PauseTerm.Value - 1), Group.Revision);
  position Covered;
  wire::fence_reply Reply;
  Reply.group = Group.Group.Value;
  Reply.term = static_cast<std::int64_t>(Group.Term.Value);
  if (IsAccepted && DemotionTarget == name(PrimaryNumber) &&
      Upstreams[PrimaryNumber].Alive && !std::exchange(PrimaryDemoted, true))
    catchUp();
  for (std::size_t Id = 0; Id < Upstreams.size(); ++Id) {
    auto &Upstream = Upstreams[Id];
    if (!Group.Upstreams.contains(name(Id)) || !IsAccepted)
      continue;
    bool IsDemoted = DemotionTarget == name(Id);
    if (!Upstream.Alive ||
        (!IsDemoted &&
         ((Id == PrimaryNumber && !PrimaryDemoted) || pick(3) == 0)))
      continue;
    wire::upstream_report Seen;
    Seen.upstream = name(Id).Value;
    Seen.reachable = true;
    Seen.replica = true;
    Seen.received = toWire(lastPosition(Upstream));
    Seen.paused = true;
    Seen.connection_age_ms = toMilliseconds(Now - Upstream.ConnectedAt);
    // Without the rule, the position was read before the pause.
    Upstream.Paused = Rules.RequirePause && !IsDemoted;
    Covered = std::max(Covered, lastPosition(Upstream));
    Reply.upstreams.push_back(Seen);
  }
  recordPauses(WriteFence, Covered);
  Reply.acknowledged = toWire(std::max(AcknowledgedEnd, WriteFence.Covered));
  recordPauseReply(Group, Leader, Reply, Now, Now);
}

void pause_simulation::execute(const order &Order) {
  std::size_t Id = Order.Upstream;
  if (Order.Token < Fence)
    return;
  Fence = Order.Token;
  if (!Upstreams[Id].Alive || Order.Name != name(Id)) {
    recordPlatformAnswer(Group.Group, Leader, Order.Number,
                         promotion_answer::Refused, Now);
    return;
  }
  recordPlatformAnswer(Group.Group, Leader, Order.Number,
                       promotion_answer::Accepted, Now);
  // For the present primary nothing changes, now or later.
  if (Id != PrimaryNumber || PrimaryDemoted)
    AcceptedPromotions.push_back(
        {Id, Order.Name, Now + fromMilliseconds(PromotionMs)});
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
        (Id == PrimaryNumber && !PrimaryDemoted))
      continue;
    PrimaryNumber = Id;
    PrimaryDemoted = false;
    ++PrimaryTerm;
    ++Promotions;
    for (auto &Upstream : Upstreams)
      Upstream.Paused = false;
    Lost = Lost || commonPrefixLength(Upstreams[Id].Log, Acknowledged) <
                       Acknowledged.size();
  }
}

void pause_simulation::decide() {
  if (Now < ControlUpAt)
    return;
  report();
  auto Cleaning = decidePauseDirtyClearing(Group, Leader);
  auto Decision = decidePausePromotion(Group, Leader, Settings, Now, Rules);
  if (!Decision.Next && Cleaning.Next)
    Decision.Next = Cleaning.Next;
  if (!Decision.FenceTargets.empty()) {
    recordPausesSent(Group, Leader, Decision.FenceTargets, Now);
    pause(Decision.DemotionTarget, Decision.PauseTerm);
  }
  if (Decision.Order) {
    recordPlatformOrderSent(Group, Leader, Now);
    Orders.push_back({numberOf(Decision.Order->Upstream),
                      Decision.Order->FencingToken.Value, Group.OrderNumber,
                      Decision.Order->Upstream, pick(10) == 0});
  }
  if (Decision.ShouldResume)
    for (auto &Upstream : Upstreams)
      Upstream.Paused = false;
  if (!Decision.Next)
    return;
  recordPausingBegins(Decision, Leader);
  recordOrderDecided(Decision, Leader);
  apply(makeGroupCommand(*Decision.Next));
  if (Rules.FenceGateways)
    applyView(WriteFence, viewOf(Group));
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
