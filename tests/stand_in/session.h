#pragma once

#include "core/timer_service.h"
#include "tests/stand_in/connection.h"
#include "tests/stand_in/replication.h"

#include <memory>
#include <unordered_map>

namespace teasellock::stand_in {

class server;

/// A prepared statement.
struct prepared_statement {
  std::shared_ptr<const statement> Statement;
  std::vector<sql_type> ParameterTypes;
};

/// A portal: a bound statement with its parameters and, once executed, its
/// result and the next row to send.
struct portal {
  std::shared_ptr<const statement> Statement;
  std::vector<value> Parameters;
  std::vector<std::int16_t> Formats;
  std::optional<result> Result;
  std::size_t NextRow = 0;
};

/// One client connection: the server side of the PostgreSQL protocol. A
/// replica's connection becomes a replication stream.
class session {
public:
  session(server &Server, int Descriptor, std::uint32_t Pid);
  ~session();

  std::uint32_t pid() const { return Pid; }
  std::uint32_t secret() const { return Secret; }
  const std::string &applicationName() const { return ApplicationName; }
  bool isReplicating() const { return IsReplicating; }
  bool isMuted() const { return Connection.isMuted(); }
  bool inTransaction() const {
    return InTransactionBlock || !Transaction.Locks.empty();
  }
  std::uint64_t flushedOffset() const { return Sender.FlushedOffset; }
  const std::string &database() const { return Database; }

  /// Returns the state as in pg_stat_activity: "active", "idle", "idle in
  /// transaction" or "idle in transaction (aborted)".
  std::string activity() const;

  /// Returns the owner of the row lock that this session waits for.
  std::optional<std::uint32_t> lockOwner() const { return LockOwner; }

  /// Resumes processing after a wait.
  void resume();

  /// Called when the session receives the slot that it is queued for.
  void handleSlotGranted();

  /// Cancels the waiting statement with SQLSTATE 57014.
  void cancelStatement();

  /// Sends a fatal error to the client and closes the connection.
  void terminate(const std::string &SqlState, const std::string &Reason);

  /// Sends new records to the replica, optionally with a keepalive message.
  void sendReplication(bool IncludeKeepAlive);

  void setPaused(bool Paused);
  void mute();

private:
  enum class wait { None, Start, Lock, Sleep, Slot, Service };

  void handleData();
  void processMessages();
  bool processNext();
  void handleStartup(const message &Message);
  void handleCancelRequest(message_reader Reader);
  void finishStartup();
  void sendGreeting();
  void handleMessage(const message &Message);
  void handleExtendedQueryMessage(const message &Message);
  void handleQuery(const std::string &Sql);
  void executeNextInBatch();
  void finishSimpleQuery();
  void handleParse(message_reader Reader);
  void handleBind(message_reader Reader);
  void handleDescribe(message_reader Reader);
  void handleExecute(message_reader Reader);
  void executePortal();
  void sendRows(portal &Portal);
  void handleClose(message_reader Reader);
  void handleSync();
  void sendReadyForQuery();
  std::optional<result> execute(const statement &Statement,
                                const std::vector<value> &Parameters);
  std::optional<result> executeOnTables(const statement &Statement,
                                        const std::vector<value> &Parameters);
  std::optional<result> executeTransactionControl(const statement &Statement);
  result executeSetting(const statement &Statement);
  bool acquireSlot();
  void waitForLock(std::uint32_t Owner);
  void checkDeadlock();
  value callFunction(const std::string &Name,
                     const std::vector<value> &Arguments);
  value sleep(const std::vector<value> &Arguments);
  void handleError(const sql_error &Error);
  void endTransaction(bool Commit);
  void endStatement();
  void close();

  server &Server;
  connection Connection;
  std::uint32_t Pid;
  std::uint32_t Secret;
  std::string ApplicationName;
  std::string Database;
  std::map<std::string, std::string> Settings;
  std::map<std::string, std::string> StartupSettings;

  bool IsStarted = false;
  bool IsReplicating = false;
  bool IsClosed = false;
  bool IsProcessing = false;
  sender_state Sender;

  wait Waiting = wait::None;
  bool ServiceTimeElapsed = false;
  bool HoldsSlot = false;
  bool SleepElapsed = false;
  std::optional<duration> RequestedSleep;
  std::optional<std::uint32_t> LockOwner;
  timer_subscription Timer;

  transaction Transaction;
  bool InTransactionBlock = false;
  bool TransactionFailed = false;
  bool SkipToSync = false;

  bool InSimpleQuery = false;
  std::vector<statement> Batch;
  std::size_t NextInBatch = 0;
  std::unordered_map<std::string, prepared_statement> Prepared;
  std::unordered_map<std::string, portal> Portals;
  std::optional<std::string> ExecutingPortal;
  std::int32_t MaxExecutedRows = 0;
  execution_environment Environment;
};

} // namespace teasellock::stand_in
