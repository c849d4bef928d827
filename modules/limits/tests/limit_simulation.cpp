#include "modules/limits/tests/limit_simulation.h"

#include <algorithm>
#include <limits>

namespace teasellock {

namespace {

constexpr double WindowSeconds = 5;
/// One way between zones and between regions, in seconds.
constexpr double ShortDelay = 0.0009;
constexpr double LongDelay = 0.012;
/// Handovers follow each other after at least this many seconds: a process
/// needs longer to start and to be assigned a slot.
constexpr double MinHandoverSeconds = 2.5;

/// Returns the largest rate and burst in force at any moment between two.
operation_limit largestLimit(const limit_history &History, double Begin,
                             double End) {
  operation_limit Largest;
  const auto &Limits = History.Limits;
  for (std::size_t Index = 0; Index < Limits.size(); ++Index) {
    bool EndsBefore =
        Index + 1 < Limits.size() && Limits[Index + 1].first < Begin;
    if (EndsBefore || Limits[Index].first > End)
      continue;
    Largest.RatePerSecond =
        std::max(Largest.RatePerSecond, Limits[Index].second.RatePerSecond);
    Largest.Burst = std::max(Largest.Burst, Limits[Index].second.Burst);
  }
  return Largest;
}

} // namespace

limit_simulation::limit_simulation(const limit_scenario &Scenario)
    : Scenario(Scenario), Random(Scenario.Seed), Limit(Scenario.Limit) {
  Entries.resize(Scenario.Entries);
  std::vector<double> Weights;
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    static_cast<process &>(Entries[Index]) =
        makeProcess(Scenario.EntryClockError);
    Entries[Index].FirstShare = static_cast<std::uint32_t>(Index % LimitShares);
    // The first entries have most of the callers.
    Weights.push_back(1 / static_cast<double>(Index + 1));
  }
  EntryChoice = {Weights.begin(), Weights.end()};
  for (std::uint32_t Share = 0; Share < LimitShares; ++Share)
    startLimiter(Share);
  History.Limits.push_back({0, Limit});
}

limit_simulation::process limit_simulation::makeProcess(double ClockError) {
  process Process;
  Process.ClockRate = 1 + random(-ClockError, ClockError);
  Process.ClockOffset = random(1, 100000);
  Process.FrozenUntil = 0;
  return Process;
}

limit_history limit_simulation::run() {
  at(0, [this] { arrive(); });
  if (Scenario.HasFaults) {
    at(MinHandoverSeconds, [this] { handOver(); });
    if (Scenario.ChangesLimit)
      at(random(0, 20), [this] { changeLimit(); });
    at(random(0, Scenario.FreezeSeconds), [this] { freeze(); });
  }
  for (std::uint64_t Step = 0; Step < Scenario.Steps; ++Step) {
    auto Next = Events.top();
    Events.pop();
    Now = Next.At;
    Next.Action();
  }
  for (const auto &[Ticket, At] : Started)
    History.Starts.push_back(At);
  std::ranges::sort(History.Starts);
  History.EndAt = Now;
  return History;
}

void limit_simulation::atProcess(process &Process, seconds Time,
                                 std::function<void()> Action) {
  at(Time, [this, &Process, Action = std::move(Action)] {
    if (Now < Process.FrozenUntil)
      return atProcess(Process, Process.FrozenUntil, Action);
    Action();
  });
}

limit_simulation::seconds limit_simulation::arrivalAt(seconds &Last) {
  // Some messages are late by more than the validity of a batch.
  if (chance(0.02))
    return Now + random(0, 0.6);
  seconds At = Now + random(ShortDelay, LongDelay);
  if (!Scenario.HasFaults)
    At = Last = std::max(At, Last);
  return At;
}

void limit_simulation::arrive() {
  auto Phase = static_cast<std::size_t>(Now / Scenario.PhaseSeconds);
  double Demand = Scenario.Demand[Phase % Scenario.Demand.size()];
  if (Demand <= 0)
    return at((static_cast<double>(Phase) + 1) * Scenario.PhaseSeconds + 1e-6,
              [this] { arrive(); });
  auto &Entry = Entries[EntryChoice(Random)];
  atProcess(Entry, Now, [this, &Entry] {
    caller_progress Caller;
    Caller.Deadline = clockOf(Entry, Now) + LimitWaitTimeout;
    ask(Entry, Caller);
  });
  double Gap = Scenario.IsSteady
                   ? 1 / Demand
                   : std::exponential_distribution<double>(Demand)(Random);
  at(Now + Gap, [this] { arrive(); });
}

void limit_simulation::ask(entry &Entry, const caller_progress &Caller) {
  std::array<share_status, LimitShares> Status;
  for (std::uint32_t Share = 0; Share < LimitShares; ++Share)
    Status[Share] = {Share >= Scenario.UnreachableShares,
                     Entry.Shares[Share].SilentUntil};
  auto Choice =
      chooseShare(Caller, Status, Entry.FirstShare, clockOf(Entry, Now));
  if (!Choice) {
    ++(Caller.LimitReached ? History.LimitReached : History.Unavailable);
    return;
  }
  limit_ticket Ticket(++LastTicket);
  auto &Progress = Entry.Callers[Ticket] = Caller;
  Progress.Asked[Choice->Share] = true;
  limit_effects Effects;
  handleCaller(Entry.Shares[Choice->Share].Holdings, {Ticket, Choice->Deadline},
               clockOf(Entry, Now), Effects);
  execute(Entry, Choice->Share, std::move(Effects));
}

void limit_simulation::execute(entry &Entry, std::uint32_t Share,
                               limit_effects Effects) {
  for (const auto &Demand : Effects.Send)
    send(Entry, Share, Demand);
  armTimer(Entry, Share);
  for (const auto &Resolution : Effects.Resolved)
    resolve(Entry, Share, Resolution);
}

void limit_simulation::resolve(entry &Entry, std::uint32_t Share,
                               const limit_resolution &Resolution) {
  auto Caller = Entry.Callers.extract(Resolution.Ticket).mapped();
  if (Resolution.Verdict == limit_verdict::LimitReached) {
    Caller.LimitReached = true;
    return ask(Entry, Caller);
  }
  if (Resolution.Verdict == limit_verdict::Unavailable) {
    Entry.Shares[Share].SilentUntil = clockOf(Entry, Now) + SilentPeriod;
    return ask(Entry, Caller);
  }
  Started[++LastStart] = Now;
  if (chance(0.1))
    giveBackLater(Entry, LastStart, Resolution);
}

void limit_simulation::giveBackLater(entry &Entry, std::uint64_t Start,
                                     const limit_resolution &Resolution) {
  atProcess(Entry, Now + random(0, 0.4), [this, &Entry, Start, Resolution] {
    // As in the service: not after the validity, and to the first share.
    if (Resolution.ValidUntil <= clockOf(Entry, Now))
      return;
    ++History.GivenBack;
    Started.erase(Start);
    limit_effects Effects;
    handleGivenBack(Entry.Shares[Entry.FirstShare].Holdings,
                    Resolution.ValidUntil, clockOf(Entry, Now), Effects);
    execute(Entry, Entry.FirstShare, std::move(Effects));
  });
}

void limit_simulation::send(entry &Entry, std::uint32_t Share,
                            const limit_demand &Demand) {
  ++History.Messages;
  auto &State = Entry.Shares[Share];
  if (Share < Scenario.UnreachableShares || chance(0.02)) {
    handleSendFailure(State.Holdings, Demand.SentAt, clockOf(Entry, Now));
    return;
  }
  auto Index = static_cast<std::size_t>(&Entry - Entries.data());
  int Copies = chance(0.02) ? 0 : chance(0.02) ? 2 : 1;
  for (; Copies > 0; --Copies)
    atProcess(Limiters[Share], arrivalAt(State.ToLimiterAt),
              [this, Index, Share, Target = State.Limiter, Demand] {
                receiveDemand(Index, Share, Target, Demand);
              });
}

void limit_simulation::receiveDemand(std::size_t Index, std::uint32_t Share,
                                     std::uint64_t Target,
                                     const limit_demand &Demand) {
  auto &Entry = Entries[Index];
  auto &Limiter = Limiters[Share];
  limit_answer Answer;
  Answer.SentAt = Demand.SentAt;
  // A former limiter refuses, or is not reachable.
  if (Target != Limiter.Number && chance(0.5))
    return;
  if (Target == Limiter.Number) {
    auto Granted =
        answerDemand(Limiter.Accounts, {organisation_id("o"), Share}, Limit,
                     {vm_id(std::to_string(Index)), incarnation(1)}, Demand,
                     clockOf(Limiter, Now));
    if (!Granted)
      return;
    Answer = *Granted;
  }
  int Copies = chance(0.02) ? 0 : chance(0.02) ? 2 : 1;
  auto &State = Entry.Shares[Share];
  for (; Copies > 0; --Copies)
    atProcess(Entry, arrivalAt(State.FromLimiterAt),
              [this, &Entry, &State, Share, Answer] {
                if (Answer.IsLimiter)
                  State.SilentUntil = {};
                limit_effects Effects;
                handleAnswer(State.Holdings, Answer, clockOf(Entry, Now),
                             Effects);
                execute(Entry, Share, std::move(Effects));
              });
}

void limit_simulation::armTimer(entry &Entry, std::uint32_t Share) {
  auto &State = Entry.Shares[Share];
  auto Due = nextDue(State.Holdings);
  if (!Due)
    return;
  std::chrono::duration<double> Left = *Due - clockOf(Entry, Now);
  seconds At = Now + std::max(0.0, Left.count() / Entry.ClockRate) + 2e-6;
  if (State.TimerAt && *State.TimerAt <= At)
    return;
  State.TimerAt = At;
  atProcess(Entry, At, [this, &Entry, &State, Share, At] {
    if (State.TimerAt != At)
      return;
    State.TimerAt.reset();
    limit_effects Effects;
    handleDue(State.Holdings, clockOf(Entry, Now), Effects);
    execute(Entry, Share, std::move(Effects));
  });
}

/// Starts another process as the limiter of a share.
void limit_simulation::startLimiter(std::uint32_t Share) {
  auto &Limiter = Limiters[Share];
  static_cast<process &>(Limiter) = makeProcess(Scenario.LimiterClockError);
  ++Limiter.Number;
  Limiter.Accounts = {};
  for (auto &Entry : Entries)
    if (Now == 0)
      Entry.Shares[Share].Limiter = Limiter.Number;
}

/// Another process becomes the limiter of a share; entries learn of it one by
/// one.
void limit_simulation::handOver() {
  History.Handovers.push_back(Now);
  auto Share = static_cast<std::uint32_t>(Random() % LimitShares);
  startLimiter(Share);
  for (auto &Entry : Entries)
    atProcess(Entry, Now + random(0, 0.5), [this, &Entry, Share] {
      auto &State = Entry.Shares[Share];
      State.Limiter = Limiters[Share].Number;
      State.SilentUntil = {};
      limit_effects Effects;
      handleLimiterChanged(State.Holdings, clockOf(Entry, Now), Effects);
      execute(Entry, Share, std::move(Effects));
    });
  at(Now + MinHandoverSeconds + random(0, Scenario.HandoverSeconds),
     [this] { handOver(); });
}

void limit_simulation::changeLimit() {
  double Factor = random(0.2, 2);
  Limit.RatePerSecond = Scenario.Limit.RatePerSecond * Factor;
  Limit.Burst = Scenario.Limit.Burst * random(0.2, 2);
  for (auto &Limiter : Limiters)
    for (auto &[Share, Account] : Limiter.Accounts.ByShare)
      applyLimit(Account.Bucket, shareOf(Limit), clockOf(Limiter, Now));
  History.Limits.push_back({Now, Limit});
  at(Now + random(5, 30), [this] { changeLimit(); });
}

/// Freezes a limiter, an entry, or all entries, which then resume together
/// with what they had in hand.
void limit_simulation::freeze() {
  seconds Until = Now + (chance(0.3) ? random(0, 10) : random(0, 0.5));
  if (chance(0.2))
    Limiters[Random() % LimitShares].FrozenUntil = Until;
  else if (chance(0.2))
    for (auto &Entry : Entries)
      Entry.FrozenUntil = Until;
  else
    Entries[Random() % Entries.size()].FrozenUntil = Until;
  at(Now + random(0, Scenario.FreezeSeconds), [this] { freeze(); });
}

double largestExcess(const limit_history &History, const limit_bound &Bound) {
  double Largest = -std::numeric_limits<double>::infinity();
  std::size_t Last = 0;
  const auto &Starts = History.Starts;
  for (std::size_t First = 0; First < Starts.size(); ++First) {
    double Begin = Starts[First];
    double End = Begin + WindowSeconds;
    while (Last < Starts.size() && Starts[Last] <= End)
      ++Last;
    auto Limit = largestLimit(History, Begin - WindowSeconds, End);
    auto Handovers = std::ranges::count_if(History.Handovers, [&](double At) {
      return At >= Begin - Bound.ExtraSeconds && At <= End;
    });
    double Allowed =
        Bound.Factor *
            (Limit.RatePerSecond * (WindowSeconds + Bound.ExtraSeconds) +
             Limit.Burst) +
        Bound.Extra + Bound.PerHandover * static_cast<double>(Handovers);
    Largest = std::max(Largest, static_cast<double>(Last - First) - Allowed);
  }
  return Largest;
}

} // namespace teasellock
