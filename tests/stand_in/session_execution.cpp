#include "tests/stand_in/server.h"
#include "tests/stand_in/session.h"

namespace teasellock::stand_in {

namespace {

constexpr duration DeadlockTimeout = std::chrono::seconds(1);

bool isTransactionControl(statement_kind Kind) {
  return Kind == statement_kind::Begin || Kind == statement_kind::Commit ||
         Kind == statement_kind::Rollback;
}

const std::map<std::string, std::string> &defaultSettings() {
  static const std::map<std::string, std::string> Defaults = {
      {"server_version", "15.0"},
      {"client_encoding", "UTF8"},
      {"datestyle", "ISO, MDY"},
      {"timezone", "UTC"},
      {"search_path", "public"},
      {"statement_timeout", "0"},
      {"transaction_isolation", "read committed"},
      {"standard_conforming_strings", "on"},
      {"default_transaction_read_only", "off"}};
  return Defaults;
}

} // namespace

std::optional<result> session::execute(const statement &Statement,
                                       const std::vector<value> &Parameters) {
  if (isTransactionControl(Statement.Kind))
    return executeTransactionControl(Statement);
  if (TransactionFailed && InTransactionBlock)
    throw sql_error("25P02", "current transaction is aborted, commands ignored "
                             "until end of transaction block");
  switch (Statement.Kind) {
  case statement_kind::Set:
  case statement_kind::Show:
  case statement_kind::Reset:
  case statement_kind::DiscardAll:
  case statement_kind::Deallocate:
  case statement_kind::AlterSystem:
    return executeSetting(Statement);
  default:
    return executeOnTables(Statement, Parameters);
  }
}

std::optional<result>
session::executeOnTables(const statement &Statement,
                         const std::vector<value> &Parameters) {
  if (!acquireSlot())
    return std::nullopt;
  Environment.ReadOnly = Server.isReplica();
  RequestedSleep.reset();
  execution Execution = executeStatement(Server.tables(), Transaction,
                                         Statement, Parameters, Environment);
  if (Execution.LockOwner) {
    waitForLock(*Execution.LockOwner);
    return std::nullopt;
  }
  if (RequestedSleep) {
    Waiting = wait::Sleep;
    SleepElapsed = true;
    Timer = Server.timers().after(*RequestedSleep, [this] { resume(); });
    return std::nullopt;
  }
  endStatement();
  return std::move(Execution.Result);
}

bool session::acquireSlot() {
  duration ServiceTime = Server.options().StatementTime;
  if (ServiceTime == duration::zero() || ServiceTimeElapsed)
    return true;
  if (!HoldsSlot && !Server.acquireSlotOrQueue(*this)) {
    Waiting = wait::Slot;
    return false;
  }
  HoldsSlot = true;
  Waiting = wait::Service;
  Timer = Server.timers().after(ServiceTime, [this] {
    ServiceTimeElapsed = true;
    resume();
  });
  return false;
}

void session::handleSlotGranted() {
  HoldsSlot = true;
  resume();
}

void session::resume() {
  Waiting = wait::None;
  LockOwner.reset();
  processMessages();
}

void session::waitForLock(std::uint32_t Owner) {
  Waiting = wait::Lock;
  LockOwner = Owner;
  if (HoldsSlot) {
    HoldsSlot = false;
    Server.releaseSlot();
  }
  Timer = Server.timers().after(DeadlockTimeout, [this] { checkDeadlock(); });
}

void session::checkDeadlock() {
  if (!LockOwner || !Server.isDeadlocked(Pid, *LockOwner)) {
    Timer = Server.timers().after(DeadlockTimeout, [this] { checkDeadlock(); });
    return;
  }
  handleError(sql_error("40P01", "deadlock detected"));
  if (InSimpleQuery)
    finishSimpleQuery();
  ExecutingPortal.reset();
  resume();
}

void session::cancelStatement() {
  if (Waiting == wait::None || Waiting == wait::Start || IsClosed)
    return;
  Timer.cancel();
  Server.removeFromSlotQueue(Pid);
  handleError(sql_error("57014", "canceling statement due to user request"));
  if (InSimpleQuery)
    finishSimpleQuery();
  ExecutingPortal.reset();
  resume();
}

void session::endStatement() {
  ServiceTimeElapsed = false;
  SleepElapsed = false;
  if (Waiting == wait::Slot)
    Server.removeFromSlotQueue(Pid);
  if (HoldsSlot) {
    HoldsSlot = false;
    Server.releaseSlot();
  }
}

std::optional<result>
session::executeTransactionControl(const statement &Statement) {
  result Result;
  if (Statement.Kind == statement_kind::Begin) {
    InTransactionBlock = true;
    Result.CommandTag = "BEGIN";
    return Result;
  }
  bool Commit = Statement.Kind == statement_kind::Commit && !TransactionFailed;
  Result.CommandTag = Commit ? "COMMIT" : "ROLLBACK";
  InTransactionBlock = false;
  endTransaction(Commit);
  TransactionFailed = false;
  return Result;
}

void session::endTransaction(bool Commit) {
  bool Logged = false;
  if (Commit)
    Logged = Server.tables().commit(Transaction);
  else
    Server.tables().rollback(Transaction);
  if (!InTransactionBlock)
    TransactionFailed = false;
  Server.handleTransactionEnd(Pid, Logged);
}

result session::executeSetting(const statement &Statement) {
  result Result;
  const std::string &Name = Statement.Name;
  switch (Statement.Kind) {
  case statement_kind::Set:
    Result.CommandTag = "SET";
    Settings[Name] = Statement.Text;
    if (Name == "application_name") {
      ApplicationName = Statement.Text;
      writeParameterStatus(Connection.output(), Name, ApplicationName);
    }
    return Result;
  case statement_kind::Reset:
    Result.CommandTag = "RESET";
    if (Name == "all")
      Settings = StartupSettings;
    else
      Settings.erase(Name);
    return Result;
  case statement_kind::DiscardAll:
    if (InTransactionBlock)
      throw sql_error("25001",
                      "DISCARD ALL cannot run inside a transaction block");
    Result.CommandTag = "DISCARD ALL";
    Settings = StartupSettings;
    Prepared.clear();
    return Result;
  case statement_kind::Deallocate:
    if (Prepared.erase(Name) == 0)
      throw sql_error("26000",
                      "prepared statement \"" + Name + "\" does not exist");
    Result.CommandTag = "DEALLOCATE";
    return Result;
  case statement_kind::AlterSystem:
    Server.alterSystem(Name, Statement.Text);
    Result.CommandTag = "ALTER SYSTEM";
    return Result;
  default:
    break;
  }
  auto Own = Settings.find(Name);
  auto Default = defaultSettings().find(Name);
  if (Own == Settings.end() && Default == defaultSettings().end())
    throw sql_error("42704",
                    "unrecognized configuration parameter \"" + Name + "\"");
  Result.CommandTag = "SHOW";
  Result.HasRows = true;
  Result.Columns = {{Name, sql_type::Text}};
  Result.Rows = {{Own != Settings.end() ? Own->second : Default->second}};
  return Result;
}

value session::callFunction(const std::string &Name,
                            const std::vector<value> &Arguments) {
  if (Name == "pg_sleep")
    return sleep(Arguments);
  if (Name == "pg_backend_pid")
    return std::int64_t(Pid);
  if (Name == "current_database")
    return Database;
  if (Name == "current_setting" && !Arguments.empty()) {
    auto Found = Settings.find(toText(Arguments[0]));
    return Found == Settings.end() ? value{} : value{Found->second};
  }
  // Assumes is_local: the setting would end with the transaction, so it isn't
  // stored.
  if (Name == "set_config" && Arguments.size() == 3)
    return Arguments[1];
  return Server.callFunction(Name, Arguments);
}

value session::sleep(const std::vector<value> &Arguments) {
  if (Arguments.size() != 1)
    throw sql_error("42883", "pg_sleep takes one argument");
  if (SleepElapsed)
    return std::string();
  double Seconds = 0;
  try {
    Seconds = std::stod(toText(Arguments[0]));
  } catch (const std::exception &) {
    throw sql_error("22P02", "pg_sleep takes a number of seconds");
  }
  constexpr double MaximumSeconds = 3600;
  Seconds = std::max(0.0, std::min(Seconds, MaximumSeconds));
  RequestedSleep = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
  return std::string();
}

} // namespace teasellock::stand_in
