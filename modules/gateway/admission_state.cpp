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

// Statements of open transactions start first because their transactions hold
// connections and locks.
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

// Sheds the newest queued read of some upstream to make room in the queue.
// Returns false if no read is queued.
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
         countConnections(Upstream) > Upstream.ConnectionLimit) {
    --Upstream.Idle;
    ++Effects.CloseIdle;
  }
}

// Releases an occupied connection. Returns whether it stays open.
bool releaseConnection(upstream_admission &Upstream,
                       connection_disposition Disposition) {
  if (Disposition == connection_disposition::KeepPinned)
    return true;
  bool StaysOpen = Disposition == connection_disposition::ReturnToPool &&
                   countConnections(Upstream) <= Upstream.ConnectionLimit;
  --Upstream.Occupied;
  if (StaysOpen)
    ++Upstream.Idle;
  return StaysOpen;
}

} // namespace

std::uint32_t countConnections(const upstream_admission &Upstream) {
  return Upstream.Occupied + Upstream.Idle;
}

std::size_t countQueued(const admission_state &State) {
  std::size_t Count = 0;
  for (const auto &[Id, Upstream] : State.Upstreams)
    Count += Upstream.Queue.size();
  return Count;
}

void submitWork(admission_state &State, const upstream_id &Upstream,
                queued_work Work, admission_effects &Effects) {
  upstream_admission &Target = State.Upstreams[Upstream];
  if (Target.Queue.empty() && canStart(Target, Work.Class))
    return start(Target, Work, Effects);
  if (countQueued(State) >= State.QueueLimit &&
      (Work.Class == work_class::Read || !shedOneRead(State, Effects))) {
    Effects.Shed.push_back(Work.Id);
    return;
  }
  Target.Queue.push_back(Work);
  startQueued(Target, Effects);
}

bool removeQueuedWork(admission_state &State, const upstream_id &Upstream,
                      std::uint64_t Id) {
  return std::erase_if(State.Upstreams[Upstream].Queue,
                       [&](const queued_work &Work) { return Work.Id == Id; }) >
         0;
}

bool finishWork(admission_state &State, const upstream_id &Upstream,
                connection_disposition Disposition,
                admission_effects &Effects) {
  upstream_admission &Target = State.Upstreams[Upstream];
  --Target.Running;
  bool StaysOpen = releaseConnection(Target, Disposition);
  startQueued(Target, Effects);
  return StaysOpen;
}

bool releasePinnedConnection(admission_state &State,
                             const upstream_id &Upstream,
                             connection_disposition Disposition,
                             admission_effects &Effects) {
  upstream_admission &Target = State.Upstreams[Upstream];
  bool StaysOpen = releaseConnection(Target, Disposition);
  startQueued(Target, Effects);
  return StaysOpen;
}

void handleIdleConnectionLost(admission_state &State,
                              const upstream_id &Upstream,
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

void expireQueuedWork(admission_state &State, time_point Now,
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
