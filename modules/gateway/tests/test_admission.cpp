#include "modules/gateway/admission_state.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace teasellock;

namespace {

using milliseconds = std::chrono::milliseconds;

const upstream_id Upstreams[] = {upstream_id("a"), upstream_id("b")};

/// An executing statement as the caller of admission sees it.
struct running_work {
  std::size_t Upstream;
  work_class Class;
};

/// Applies random events to an admission state and checks its limits after
/// each.
struct admission_fixture {
  admission_state State;
  std::map<std::uint64_t, running_work> Running;
  std::map<std::uint64_t, std::pair<std::size_t, queued_work>> Queued;
  /// Connections held by open transactions, by upstream.
  std::uint32_t Pinned[2] = {0, 0};
  std::uint64_t NextId = 1;
  std::int64_t Clock = 0;

  time_point now() const { return time_point(milliseconds(Clock)); }

  void applyEffects(const admission_effects &Effects) {
    for (const queued_work &Work : Effects.Start) {
      auto Found = Queued.find(Work.Id);
      RC_ASSERT(Found != Queued.end());
      Running[Work.Id] = {Found->second.first, Work.Class};
      Queued.erase(Found);
    }
    for (std::uint64_t Id : Effects.Shed) {
      RC_ASSERT(Queued.contains(Id));
      Queued.erase(Id);
    }
  }

  void submitOne() {
    std::size_t Target = *rc::gen::inRange<std::size_t>(0, 2);
    auto Class = *rc::gen::element(work_class::Read, work_class::Write,
                                   work_class::Pinned);
    if (Class == work_class::Pinned) {
      if (Pinned[Target] == 0)
        Class = work_class::Write;
      else
        --Pinned[Target];
    }
    queued_work Work{NextId++, Class,
                     now() + milliseconds(*rc::gen::inRange(1, 6))};
    Queued[Work.Id] = {Target, Work};
    admission_effects Effects;
    submitWork(State, Upstreams[Target], Work, Effects);
    bool WriteShed = false;
    bool ReadQueued = false;
    for (std::uint64_t Id : Effects.Shed)
      WriteShed |= Queued[Id].second.Class != work_class::Read;
    // A transaction whose statement was shed still holds its connection.
    for (std::uint64_t Id : Effects.Shed)
      if (Queued[Id].second.Class == work_class::Pinned)
        ++Pinned[Queued[Id].first];
    applyEffects(Effects);
    for (const auto &[Id, Entry] : Queued)
      ReadQueued |= Entry.second.Class == work_class::Read;
    RC_ASSERT_FALSE(WriteShed && ReadQueued);
  }

  void finishOne() {
    if (Running.empty())
      return;
    auto Chosen = Running.begin();
    std::advance(Chosen, *rc::gen::inRange<std::size_t>(0, Running.size()));
    auto [Id, Work] = *Chosen;
    Running.erase(Chosen);
    auto Disposition = *rc::gen::element(connection_disposition::ReturnToPool,
                                         connection_disposition::KeepPinned,
                                         connection_disposition::Close);
    if (Disposition == connection_disposition::KeepPinned)
      ++Pinned[Work.Upstream];
    admission_effects Effects;
    finishWork(State, Upstreams[Work.Upstream], Disposition, Effects);
    applyEffects(Effects);
  }

  void releaseOne() {
    std::size_t Target = *rc::gen::inRange<std::size_t>(0, 2);
    if (Pinned[Target] == 0)
      return;
    --Pinned[Target];
    admission_effects Effects;
    releasePinnedConnection(State, Upstreams[Target],
                            connection_disposition::Close, Effects);
    applyEffects(Effects);
  }

  void changeLimits() {
    std::size_t Target = *rc::gen::inRange<std::size_t>(0, 2);
    auto Connections = *rc::gen::inRange<std::uint32_t>(0, 5);
    auto Slots = *rc::gen::inRange<std::uint32_t>(0, 4);
    admission_effects Effects;
    setLimits(State, Upstreams[Target], Connections, Slots, Effects);
    applyEffects(Effects);
  }

  void advance() {
    Clock += *rc::gen::inRange(1, 4);
    admission_effects Effects;
    expireQueuedWork(State, now(), Effects);
    for (std::uint64_t Id : Effects.Shed) {
      RC_ASSERT(Queued[Id].second.Deadline <= now());
      if (Queued[Id].second.Class == work_class::Pinned)
        ++Pinned[Queued[Id].first];
    }
    applyEffects(Effects);
    for (const auto &[Id, Entry] : Queued)
      RC_ASSERT(Entry.second.Deadline > now());
  }

  /// Checks the counts of executing statements and connections of each
  /// upstream.
  void checkBounds(const admission_state &Before) {
    RC_ASSERT(countQueued(State) == Queued.size());
    RC_ASSERT(countQueued(State) <=
              std::max<std::size_t>(State.QueueLimit, countQueued(Before)));
    for (std::size_t Index = 0; Index < 2; ++Index) {
      const upstream_admission &Usage = State.Upstreams[Upstreams[Index]];
      std::uint32_t Count = 0;
      for (const auto &[Id, Work] : Running)
        Count += Work.Upstream == Index;
      std::uint32_t WaitingPinned = 0;
      for (const auto &[Id, Entry] : Queued)
        WaitingPinned +=
            Entry.first == Index && Entry.second.Class == work_class::Pinned;
      RC_ASSERT(Usage.Running == Count);
      RC_ASSERT(Usage.Occupied == Count + Pinned[Index] + WaitingPinned);
      auto Old = Before.Upstreams.find(Upstreams[Index]);
      std::uint32_t OldRunning =
          Old == Before.Upstreams.end() ? 0 : Old->second.Running;
      std::uint32_t OldConnections =
          Old == Before.Upstreams.end() ? 0 : countConnections(Old->second);
      // Usage above a lowered limit never grows.
      RC_ASSERT(Usage.Running <= std::max(Usage.SlotLimit, OldRunning));
      RC_ASSERT(countConnections(Usage) <=
                std::max(Usage.ConnectionLimit, OldConnections));
      RC_ASSERT(Usage.Idle == 0 ||
                countConnections(Usage) <= Usage.ConnectionLimit);
      // No statement waits while a slot and a connection are free.
      if (!Usage.Queue.empty())
        RC_ASSERT(Usage.Running >= Usage.SlotLimit ||
                  Usage.Occupied >= Usage.ConnectionLimit);
    }
  }
};

} // namespace

TEST_CASE("gateway: admission keeps slots, connections and the queue within "
          "their limits") {
  CHECK(rc::check([] {
    admission_fixture Fixture;
    admission_effects Ignored;
    Fixture.State.QueueLimit = *rc::gen::inRange<std::uint32_t>(0, 5);
    setLimits(Fixture.State, Upstreams[0], 3, 2, Ignored);
    setLimits(Fixture.State, Upstreams[1], 2, 2, Ignored);
    int Events = *rc::gen::inRange(0, 60);
    for (int Event = 0; Event < Events; ++Event) {
      admission_state Before = Fixture.State;
      switch (*rc::gen::weightedElement<int>(
          {{6, 0}, {4, 1}, {1, 2}, {1, 3}, {2, 4}})) {
      case 0:
        Fixture.submitOne();
        break;
      case 1:
        Fixture.finishOne();
        break;
      case 2:
        Fixture.releaseOne();
        break;
      case 3:
        Fixture.changeLimits();
        break;
      default:
        Fixture.advance();
      }
      Fixture.checkBounds(Before);
    }
  }));
}
