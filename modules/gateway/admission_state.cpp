#include "modules/gateway/admission_state.h"

#include <algorithm>

namespace teasellock {

namespace {

bool canStart(const upstream_admission &Upstream, work_class Class) {
  if (Upstream.Running >= Upstream.SlotLimit)
    return false;
  return Class == work_class::Pinned ||
         Upstream.Occupied < Upstream.ConnectionLimit;
}

void start(upstream_admission &Upstream, const queued_work &Work,
           admission_effects &Effects) {
  ++Upstream.Running;
  if (Work.Class != work_class::Pinned) {
    ++Upstream.Occupied;
    if (Upstream.Idle > 0)
      --Upstream.Idle;
  }
  Effects.Start.push_back(Work);
}

// Open transactions go first: they hold connections and locks.
void startQueued(upstream_admission &Upstream, admission_effects &Effects) {
  for (auto Work = Upstream.Queue.begin(); Work != Upstream.Queue.end();) {
    if (Work->Class != work_class::Pinned || !canStart(Upstream, Work->Class)) {
      ++Work;
      continue;
    }
    start(Upstream, *Work, Effects);
    Work = Upstream.Queue.erase(Work);
  }
  while (!Upstream.Queue.empty() &&
         canStart(Upstream, Upstream.Queue.front().Class)) {
    start(Upstream, Upstream.Queue.front(), Effects);
    Upstream.Queue.pop_front();
  }
}

// The newest queued read makes room for more important work.
bool shedOneRead(admission_state &State, admission_effects &Effects) {
  for (auto &[Id, Upstream] : State.Upstreams) {
    auto Newest = std::find_if(
        Upstream.Queue.rbegin(), Upstream.Queue.rend(),
        [](const queued_work &Work) { return Work.Class == work_class::Read; });
    if (Newest == Upstream.Queue.rend())
      continue;
    Effects.Shed.push_back(Newest->Id);
    Upstream.Queue.erase(std::next(Newest).base());
    return true;
  }
  return false;
}

void trimIdle(upstream_admission &Upstream, admission_effects &Effects) {
  while (Upstream.Idle > 0 &&
         connections(Upstream) > Upstream.ConnectionLimit) {
    --Upstream.Idle;
    ++Effects.CloseIdle;
  }
}

// Gives an occupied connection back. Returns whether it stays open.
bool release(upstream_admission &Upstream, connection_fate Fate) {
  if (Fate == connection_fate::Keep)
    return true;
  bool Stays = Fate == connection_fate::Free &&
               connections(Upstream) <= Upstream.ConnectionLimit;
  --Upstream.Occupied;
  if (Stays)
    ++Upstream.Idle;
  return Stays;
}

} // namespace

std::uint32_t connections(const upstream_admission &Upstream) {
  return Upstream.Occupied + Upstream.Idle;
}

std::size_t queued(const admission_state &State) {
  std::size_t Count = 0;
  for (const auto &[Id, Upstream] : State.Upstreams)
    Count += Upstream.Queue.size();
  return Count;
}

void submit(admission_state &State, const upstream_id &Upstream,
            queued_work Work, admission_effects &Effects) {
  upstream_admission &Target = State.Upstreams[Upstream];
  if (Target.Queue.empty() && canStart(Target, Work.Class))
    return start(Target, Work, Effects);
  if (queued(State) >= State.QueueLimit &&
      (Work.Class == work_class::Read || !shedOneRead(State, Effects))) {
    Effects.Shed.push_back(Work.Id);
    return;
  }
  Target.Queue.push_back(Work);
  startQueued(Target, Effects);
}

bool withdraw(admission_state &State, const upstream_id &Upstream,
              std::uint64_t Id) {
  return std::erase_if(State.Upstreams[Upstream].Queue,
                       [&](const queued_work &Work) { return Work.Id == Id; }) >
         0;
}

bool finish(admission_state &State, const upstream_id &Upstream,
            connection_fate Fate, admission_effects &Effects) {
  upstream_admission &Target = State.Upstreams[Upstream];
  --Target.Running;
  bool Stays = release(Target, Fate);
  startQueued(Target, Effects);
  return Stays;
}

bool releasePinned(admission_state &State, const upstream_id &Upstream,
                   connection_fate Fate, admission_effects &Effects) {
  upstream_admission &Target = State.Upstreams[Upstream];
  bool Stays = release(Target, Fate);
  startQueued(Target, Effects);
  return Stays;
}

void loseIdle(admission_state &State, const upstream_id &Upstream,
              admission_effects &Effects) {
  upstream_admission &Target = State.Upstreams[Upstream];
  if (Target.Idle > 0)
    --Target.Idle;
  startQueued(Target, Effects);
}

void setLimits(admission_state &State, const upstream_id &Upstream,
               std::uint32_t Connections, std::uint32_t Slots,
               admission_effects &Effects) {
  upstream_admission &Target = State.Upstreams[Upstream];
  Target.ConnectionLimit = Connections;
  Target.SlotLimit = Slots;
  trimIdle(Target, Effects);
  startQueued(Target, Effects);
}

void expire(admission_state &State, time_point Now,
            admission_effects &Effects) {
  for (auto &[Id, Upstream] : State.Upstreams)
    std::erase_if(Upstream.Queue, [&](const queued_work &Work) {
      if (Work.Deadline > Now)
        return false;
      Effects.Shed.push_back(Work.Id);
      return true;
    });
}

} // namespace teasellock
