#include "bench/load_phase.h"
#include "bench/load_session.h"

#include <ctime>

namespace teasellock::bench {

namespace {

constexpr duration CsvPeriod = std::chrono::seconds(1);

} // namespace

struct load_phase::state {
  state(event_loop &Loop, timer_service &Timers, phase_settings Given,
        csv_output &Csv)
      : Settings(std::move(Given)), Context{Loop, Timers, Settings, {},
                                            {},   false,  false},
        Csv(Csv) {}

  void createSessions();
  void addSession(const std::string &Group, std::size_t Index);
  void startTimers();
  void stop();
  void handleSessionStopped();
  void verifyNext();

  phase_settings Settings;
  phase_context Context;
  csv_output &Csv;
  std::vector<std::unique_ptr<load_session>> Sessions;
  /// Makes the ids unique across benchmark runs.
  std::int64_t RunNumber = std::time(nullptr);
  std::size_t RunningSessions = 0;
  std::size_t VerifiedSessions = 0;
  std::int64_t NextSecond = 0;
  time_point StartedAt;
  time_point EndedAt;
  timer_subscription StopTimer;
  timer_subscription CsvTimer;
  timer_subscription PauseTimer;
  timer_subscription ResumeTimer;
  std::function<void()> Done;
};

load_phase::load_phase(event_loop &Loop, timer_service &Timers,
                       phase_settings Settings, csv_output &Csv)
    : State(std::make_unique<state>(Loop, Timers, std::move(Settings), Csv)) {}

load_phase::~load_phase() = default;

void load_phase::run(std::function<void()> Done) {
  State->Done = std::move(Done);
  State->StartedAt = State->Context.Timers.now();
  State->createSessions();
  State->startTimers();
  State->RunningSessions = State->Sessions.size();
  for (auto &Session : State->Sessions)
    Session->start([this] { State->handleSessionStopped(); });
}

void load_phase::state::addSession(const std::string &Group,
                                   std::size_t Index) {
  std::string Name = Settings.Name + "-" + std::to_string(RunNumber) + "-" +
                     std::to_string(Index);
  auto Seed = static_cast<std::uint32_t>(Settings.Seed * 10007 + Index);
  Sessions.push_back(
      std::make_unique<load_session>(Context, Name, Group, Index, Seed));
}

void load_phase::state::createSessions() {
  auto Count = static_cast<std::size_t>(Settings.Connections);
  auto Roaming =
      static_cast<std::size_t>(static_cast<double>(Count) * Settings.RoamShare);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    addSession(Settings.Groups[Index % Settings.Groups.size()], Index);
    if (Index < Roaming)
      Sessions.back()->enableRoaming();
  }
  if (!Settings.TrackGaps)
    return;
  gap_tracker Tracker;
  Tracker.LateThreshold = Settings.GapLateThreshold;
  Tracker.CountedFrom = StartedAt + Settings.GapCountingDelay;
  for (const std::string &Group : Settings.Groups) {
    addSession(Group, Sessions.size());
    Sessions.back()->enableGapTracking(Tracker);
  }
}

void load_phase::state::startTimers() {
  StopTimer = Context.Timers.after(Settings.Duration, [this] { stop(); });
  CsvTimer = Context.Timers.every(CsvPeriod, [this] {
    Csv.write(Settings.Name, NextSecond++, Context.CurrentSecond);
    Context.CurrentSecond = run_statistics();
  });
  if (Settings.PauseAt == duration::zero())
    return;
  PauseTimer = Context.Timers.after(Settings.PauseAt,
                                    [this] { Context.IsPaused = true; });
  ResumeTimer = Context.Timers.after(Settings.PauseAt + Settings.PauseDuration,
                                     [this] { Context.IsPaused = false; });
}

void load_phase::state::stop() {
  Context.IsStopping = true;
  CsvTimer.cancel();
  EndedAt = Context.Timers.now();
  Context.Total.Elapsed = EndedAt - StartedAt;
  if (Sessions.empty())
    Done();
}

void load_phase::state::handleSessionStopped() {
  if (--RunningSessions == 0)
    Context.Loop.post([this] { verifyNext(); });
}

void load_phase::state::verifyNext() {
  if (VerifiedSessions == Sessions.size())
    return Done();
  Sessions[VerifiedSessions++]->verify(
      [this] { Context.Loop.post([this] { verifyNext(); }); });
}

const run_statistics &load_phase::statistics() const {
  return State->Context.Total;
}

std::vector<std::pair<std::string, duration>> load_phase::longestGaps() const {
  std::vector<std::pair<std::string, duration>> Gaps;
  for (const auto &Session : State->Sessions)
    if (Session->gapTracker())
      Gaps.emplace_back(Session->group(),
                        longestGap(*Session->gapTracker(), State->EndedAt));
  return Gaps;
}

} // namespace teasellock::bench
