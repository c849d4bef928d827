#include "bench/load_session.h"

#include <cstdlib>

namespace teasellock::bench {

namespace {

constexpr int StatementsPerTarget = 20;
constexpr duration RetryDelay = std::chrono::milliseconds(50);
constexpr duration ErrorDelay = std::chrono::milliseconds(10);
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

void load_session::enableGapTracking(gap_tracker Tracker) {
  GapTracker = Tracker;
  Mix.WriteShare = 1;
  Mix.ChargeShare = 0;
  WriteInterval = Context.Settings.GapWriteInterval;
  Timeout = Context.Settings.GapWriteTimeout;
}

void load_session::start(std::function<void()> Stopped) {
  OnFinished = std::move(Stopped);
  connect();
}

void load_session::runAfter(duration Span, void (load_session::*Step)()) {
  Timer = Context.Timers.after(Span, [this, Step] { (this->*Step)(); });
}

void load_session::connect() {
  if (Context.IsStopping && !IsVerifying)
    return OnFinished();
  const auto &Targets = Context.Settings.Targets;
  connect_request Request;
  Request.Target = Targets[Target % Targets.size()];
  Request.Database = Group;
  Request.ApplicationName = "teasellock_bench";
  // Verification uses a new session, which must see all writes.
  Request.SessionToken = IsVerifying ? "" : Token;
  time_point StartedAt = Context.Timers.now();
  StatementsSinceMove = 0;
  Client.connect(Request, GapTracker ? Timeout : ConnectTimeout,
                 [this, StartedAt](bool Ok, const std::string &Reason) {
                   if (Ok)
                     handleConnected();
                   else
                     handleConnectFailure(StartedAt, Reason);
                 });
}

void load_session::handleConnectFailure(time_point StartedAt,
                                        const std::string &) {
  ++Context.Total.ConnectFailures;
  if (GapTracker && !IsVerifying)
    recordFailedWrite(*GapTracker, StartedAt);
  ++Target;
  if (IsVerifying)
    return handleVerifyFailure();
  runAfter(RetryDelay, &load_session::connect);
}

void load_session::handleConnected() {
  if (IsVerifying)
    return readStoredWrites();
  if (HasCounter)
    return continueSending();
  createCounter();
}

void load_session::createCounter() {
  Client.query(counterSql(Ledger), ConnectTimeout,
               [this](const query_result &QueryResult) {
                 HasCounter = QueryResult.Outcome == query_outcome::Succeeded;
                 if (HasCounter)
                   return continueSending();
                 ++Target;
                 runAfter(RetryDelay, &load_session::connect);
               });
}

void load_session::continueSending() {
  if (Context.IsStopping)
    return OnFinished();
  if (Context.IsPaused)
    return runAfter(PauseCheck, &load_session::continueSending);
  if (IsRoaming && StatementsSinceMove >= StatementsPerTarget) {
    ++Context.Total.Roams;
    ++Target;
    return connect();
  }
  duration Wait = LastSent + WriteInterval - Context.Timers.now();
  if (WriteInterval > duration::zero() && Wait > duration::zero())
    return runAfter(Wait, &load_session::sendStatement);
  sendStatement();
}

void load_session::sendStatement() {
  ++StatementsSinceMove;
  LastSent = Context.Timers.now();
  planned_statement Statement = planStatement(Ledger, Mix, Random);
  Client.query(
      Statement.Sql, Timeout,
      [this, Statement, StartedAt = LastSent](const query_result &QueryResult) {
        handleResult(Statement, StartedAt, QueryResult);
      });
}

void load_session::handleResult(const planned_statement &Statement,
                                time_point StartedAt,
                                const query_result &QueryResult) {
  duration Span = Context.Timers.now() - StartedAt;
  if (Client.isUsable() && QueryResult.Outcome == query_outcome::Succeeded)
    Token = Client.sessionToken();
  if (QueryResult.Outcome == query_outcome::Succeeded) {
    for (run_statistics *Statistics :
         {&Context.Total, &Context.CurrentSecond}) {
      ++Statistics->Succeeded;
      Statistics->Classes[Statement.Class].observe(Span);
    }
  } else {
    countError(QueryResult.Outcome == query_outcome::Lost
                   ? "lost"
                   : QueryResult.SqlState);
  }
  if (Statement.Operation != operation::Read)
    handleWriteResult(Statement, StartedAt, QueryResult);
  else if (QueryResult.Outcome == query_outcome::Succeeded)
    countViolation(checkRead(Statement, QueryResult.Rows));
  if (!Client.isUsable())
    return reconnectToNextTarget();
  if (QueryResult.Outcome == query_outcome::ServerError)
    return runAfter(ErrorDelay, &load_session::continueSending);
  continueSending();
}

void load_session::reconnectToNextTarget() {
  ++Context.Total.Reconnects;
  ++Target;
  // Delayed, so that a target that closes every connection isn't flooded.
  runAfter(ErrorDelay, &load_session::connect);
}

void load_session::handleWriteResult(const planned_statement &Statement,
                                     time_point StartedAt,
                                     const query_result &QueryResult) {
  write_outcome Outcome = write_outcome::Unknown;
  if (QueryResult.Outcome == query_outcome::Succeeded)
    Outcome = write_outcome::Acknowledged;
  else if (QueryResult.Outcome == query_outcome::ServerError)
    Outcome = outcomeOfSqlState(QueryResult.SqlState);
  // No other session uses this id, so the same write was executed before.
  if (QueryResult.SqlState == "23505") {
    countViolation(violation::DuplicateWrite);
    Outcome = write_outcome::Unknown;
  }
  recordWrite(Ledger, Statement, Outcome);
  countWrite(Outcome);
  if (!GapTracker)
    return;
  if (Outcome == write_outcome::Acknowledged)
    recordAcknowledgedWrite(*GapTracker, StartedAt, Context.Timers.now());
  else
    recordFailedWrite(*GapTracker, StartedAt);
}

void load_session::countWrite(write_outcome Outcome) {
  run_statistics &Total = Context.Total;
  Total.Acknowledged += Outcome == write_outcome::Acknowledged;
  Total.NotExecuted += Outcome == write_outcome::NotExecuted;
  Total.Unknown += Outcome == write_outcome::Unknown;
}

void load_session::countError(const std::string &Name) {
  ++Context.Total.ErrorsBySqlState[Name];
  ++Context.CurrentSecond.ErrorsBySqlState[Name];
}

void load_session::countViolation(violation Violation) {
  if (Violation != violation::None)
    ++Context.Total.Violations[Violation];
}

void load_session::verify(std::function<void()> Verified) {
  IsVerifying = true;
  OnFinished = std::move(Verified);
  connect();
}

void load_session::readStoredWrites() {
  // Statements inside a transaction are executed on the primary.
  auto Fail = [this] { handleVerifyFailure(); };
  Client.query(
      "BEGIN", ReadBackTimeout, [this, Fail](const query_result &Begun) {
        if (Begun.Outcome != query_outcome::Succeeded)
          return Fail();
        Client.query(
            "SELECT amount FROM stock WHERE item = '" + Ledger.Name + "'",
            ReadBackTimeout, [this, Fail](const query_result &Stock) {
              if (Stock.Outcome != query_outcome::Succeeded)
                return Fail();
              std::int64_t Counter =
                  Stock.Rows.empty() ? 0 : std::atoll(Stock.Rows[0][0].c_str());
              Client.query("SELECT id FROM bookings WHERE caller = '" +
                               Ledger.Name + "'",
                           ReadBackTimeout,
                           [this, Fail, Counter](const query_result &Bookings) {
                             if (Bookings.Outcome != query_outcome::Succeeded)
                               return Fail();
                             compareStoredWrites(Bookings.Rows, Counter);
                           });
            });
      });
}

void load_session::handleVerifyFailure() {
  ++Target;
  if (++VerifyAttempts < MaximumVerifyAttempts)
    return runAfter(RetryDelay, &load_session::connect);
  ++Context.Total.UnverifiedSessions;
  OnFinished();
}

void load_session::compareStoredWrites(
    const std::vector<std::vector<std::string>> &Rows, std::int64_t Counter) {
  std::vector<std::string> Ids;
  for (const auto &Row : Rows) {
    Ids.push_back(Row.front());
    auto Found = Ledger.Bookings.find(Row.front());
    if (Found != Ledger.Bookings.end() &&
        Found->second == write_outcome::Unknown)
      ++Context.Total.UnknownExecuted;
  }
  for (const auto &[Violation, Count] : checkLedger(Ledger, Ids, Counter))
    Context.Total.Violations[Violation] += Count;
  // An open transaction would occupy one of the upstream's connections.
  Client.query("COMMIT", ReadBackTimeout, [this](const query_result &) {
    Client.close();
    OnFinished();
  });
}

} // namespace teasellock::bench
