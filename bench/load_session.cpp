#include "bench/load_session.h"

#include <cstdlib>

namespace teasellock::bench {

namespace {

constexpr int StatementsPerTarget = 20;
constexpr duration RetryDelay = std::chrono::milliseconds(50);
constexpr duration RefusedDelay = std::chrono::milliseconds(10);
constexpr duration PauseCheck = std::chrono::milliseconds(5);
constexpr duration ConnectTimeout = std::chrono::seconds(5);
constexpr duration ReadBackTimeout = std::chrono::seconds(30);
constexpr int MaximumVerifyAttempts = 100;

} // namespace

load_session::load_session(phase_context &Context, std::string Name,
                           std::string Group, std::size_t Target,
                           std::uint32_t Seed)
    : Context(Context), Group(std::move(Group)), Target(Target), Random(Seed),
      Mix(Context.Settings.Mix), Client(Context.Loop, Context.Timers),
      Timeout(Context.Settings.StatementTimeout) {
  Ledger.Name = std::move(Name);
}

void load_session::watchGap(gap_tracker Tracker) {
  Gap = Tracker;
  Mix.WriteShare = 1;
  Mix.ChargeShare = 0;
  Pace = Context.Settings.GapPace;
  Timeout = Context.Settings.GapAttempt;
}

void load_session::start(std::function<void()> Stopped) {
  Finished = std::move(Stopped);
  connect();
}

void load_session::later(duration Span, void (load_session::*Step)()) {
  Timer = Context.Timers.after(Span, [this, Step] { (this->*Step)(); });
}

void load_session::connect() {
  if (Context.Stopping && !Verifying)
    return Finished();
  const auto &Targets = Context.Settings.Targets;
  connect_request Request;
  Request.Target = Targets[Target % Targets.size()];
  Request.Database = Group;
  Request.ApplicationName = "teasellock_bench";
  // Reading back starts a session of its own, which must see everything.
  Request.SessionToken = Verifying ? "" : Token;
  time_point Began = Context.Timers.now();
  SinceMove = 0;
  Client.connect(Request, Gap ? Timeout : ConnectTimeout,
                 [this, Began](bool Ok, const std::string &Reason) {
                   if (Ok)
                     connected();
                   else
                     connectFailed(Began, Reason);
                 });
}

void load_session::connectFailed(time_point Began, const std::string &) {
  ++Context.Total.ConnectFailures;
  if (Gap && !Verifying)
    writeFailed(*Gap, Began);
  ++Target;
  if (Verifying)
    return readBackFailed();
  later(RetryDelay, &load_session::connect);
}

void load_session::connected() {
  if (Verifying)
    return readBack();
  if (CounterMade)
    return next();
  makeCounter();
}

void load_session::makeCounter() {
  Client.query(counterSql(Ledger), ConnectTimeout,
               [this](const answer &Answer) {
                 CounterMade = Answer.Ending == ending::Answered;
                 if (CounterMade)
                   return next();
                 ++Target;
                 later(RetryDelay, &load_session::connect);
               });
}

void load_session::next() {
  if (Context.Stopping)
    return Finished();
  if (Context.Paused)
    return later(PauseCheck, &load_session::next);
  if (Roaming && SinceMove >= StatementsPerTarget) {
    ++Context.Total.Roams;
    ++Target;
    return connect();
  }
  duration Wait = LastSent + Pace - Context.Timers.now();
  if (Pace > duration::zero() && Wait > duration::zero())
    return later(Wait, &load_session::send);
  send();
}

void load_session::send() {
  ++SinceMove;
  LastSent = Context.Timers.now();
  planned_statement Statement = planStatement(Ledger, Mix, Random);
  Client.query(Statement.Sql, Timeout,
               [this, Statement, Began = LastSent](const answer &Answer) {
                 answered(Statement, Began, Answer);
               });
}

void load_session::answered(const planned_statement &Statement,
                            time_point Began, const answer &Answer) {
  duration Span = Context.Timers.now() - Began;
  if (Client.usable() && Answer.Ending == ending::Answered)
    Token = Client.sessionToken();
  if (Answer.Ending == ending::Answered) {
    for (run_figures *Figures : {&Context.Total, &Context.Second}) {
      ++Figures->Answered;
      Figures->Classes[Statement.Class].observe(Span);
    }
  } else {
    countError(Answer.Ending == ending::Lost ? "lost" : Answer.SqlState);
  }
  if (Statement.Operation != operation::Read)
    writeEnded(Statement, Began, Answer);
  else if (Answer.Ending == ending::Answered)
    countViolation(checkRead(Statement, Answer.Rows));
  if (!Client.usable())
    return moveOn();
  if (Answer.Ending == ending::Refused)
    return later(RefusedDelay, &load_session::next);
  next();
}

void load_session::moveOn() {
  ++Context.Total.Reconnects;
  ++Target;
  // Not at once: a target that ends every connection must not be hammered.
  later(RefusedDelay, &load_session::connect);
}

void load_session::writeEnded(const planned_statement &Statement,
                              time_point Began, const answer &Answer) {
  write_outcome Outcome = write_outcome::Unknown;
  if (Answer.Ending == ending::Answered)
    Outcome = write_outcome::Acknowledged;
  else if (Answer.Ending == ending::Refused)
    Outcome = outcomeOfRefusal(Answer.SqlState);
  // No other session uses this id: the same write has run before.
  if (Answer.SqlState == "23505") {
    countViolation(violation::DoubledWrite);
    Outcome = write_outcome::Unknown;
  }
  noteWrite(Ledger, Statement, Outcome);
  countWrite(Outcome);
  if (!Gap)
    return;
  if (Outcome == write_outcome::Acknowledged)
    writeAcknowledged(*Gap, Began, Context.Timers.now());
  else
    writeFailed(*Gap, Began);
}

void load_session::countWrite(write_outcome Outcome) {
  run_figures &Total = Context.Total;
  Total.Acknowledged += Outcome == write_outcome::Acknowledged;
  Total.NotRun += Outcome == write_outcome::NotRun;
  Total.Unknown += Outcome == write_outcome::Unknown;
}

void load_session::countError(const std::string &Name) {
  ++Context.Total.ErrorsBySqlState[Name];
  ++Context.Second.ErrorsBySqlState[Name];
}

void load_session::countViolation(violation Violation) {
  if (Violation != violation::None)
    ++Context.Total.Violations[Violation];
}

void load_session::verify(std::function<void()> Verified) {
  Verifying = true;
  Finished = std::move(Verified);
  connect();
}

void load_session::readBack() {
  // Statements inside a transaction go to the primary.
  auto Fail = [this] { readBackFailed(); };
  Client.query("BEGIN", ReadBackTimeout, [this, Fail](const answer &Begun) {
    if (Begun.Ending != ending::Answered)
      return Fail();
    Client.query(
        "SELECT amount FROM stock WHERE item = '" + Ledger.Name + "'",
        ReadBackTimeout, [this, Fail](const answer &Stock) {
          if (Stock.Ending != ending::Answered)
            return Fail();
          std::int64_t Counter =
              Stock.Rows.empty() ? 0 : std::atoll(Stock.Rows[0][0].c_str());
          Client.query(
              "SELECT id FROM bookings WHERE caller = '" + Ledger.Name + "'",
              ReadBackTimeout, [this, Fail, Counter](const answer &Bookings) {
                if (Bookings.Ending != ending::Answered)
                  return Fail();
                compare(Bookings.Rows, Counter);
              });
        });
  });
}

void load_session::readBackFailed() {
  ++Target;
  if (++VerifyAttempts < MaximumVerifyAttempts)
    return later(RetryDelay, &load_session::connect);
  ++Context.Total.Unverified;
  Finished();
}

void load_session::compare(const std::vector<std::vector<std::string>> &Rows,
                           std::int64_t Counter) {
  std::vector<std::string> Ids;
  for (const auto &Row : Rows) {
    Ids.push_back(Row.front());
    auto Found = Ledger.Bookings.find(Row.front());
    if (Found != Ledger.Bookings.end() &&
        Found->second == write_outcome::Unknown)
      ++Context.Total.UnknownRan;
  }
  for (const auto &[Violation, Count] : checkLedger(Ledger, Ids, Counter))
    Context.Total.Violations[Violation] += Count;
  // An open transaction would hold one of the upstream's few connections.
  Client.query("COMMIT", ReadBackTimeout, [this](const answer &) {
    Client.close();
    Finished();
  });
}

} // namespace teasellock::bench
