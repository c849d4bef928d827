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

/// A bound statement with its parameters and, once executed, what is left of
/// its rows.
struct portal {
  std::shared_ptr<const statement> Statement;
  std::vector<value> Parameters;
  std::vector<std::int16_t> Formats;
  std::optional<result> Result;
  std::size_t NextRow = 0;
};

/// One caller's connection: the server side of the PostgreSQL protocol. A
/// replica's connection turns into a replication stream.
class session {
public:
  session(server &Server, int Descriptor, std::uint32_t Pid);
  ~session();

  std::uint32_t pid() const { return Pid; }
  std::uint32_t secret() const { return Secret; }
  const std::string &applicationName() const { return ApplicationName; }
  bool replicating() const { return Replicating; }
  bool muted() const { return Connection.muted(); }
  bool inTransaction() const { return InBlock || !Transaction.Locks.empty(); }
  std::uint64_t flushedOffset() const { return Sender.FlushedOffset; }
  const std::string &database() const { return Database; }

  /// "active", "idle", "idle in transaction" or that with " (aborted)".
  std::string activity() const;

  /// The transaction that this session's statement waits for.
  std::optional<std::uint32_t> waitsFor() const { return LockOwner; }

  /// Goes on after a wait has ended.
  void resume();

  /// The slot that the statement queued for is given.
  void slotGranted();

  /// Ends the waiting statement with 57014.
  void cancelStatement();

  /// Ends the connection with an error to the caller.
  void terminate(const std::string &SqlState, const std::string &Reason);

  /// Sends new records to the replica and a sign of life.
  void sendReplication(bool SignOfLife);

  void pause(bool Paused);
  void mute();

private:
  enum class wait { None, Start, Lock, Sleep, Slot, Service };

  void onData();
  void process();
  bool step();
  void onStartup(const message &Message);
  void onCancelRequest(message_reader Reader);
  void finishStartup();
  void sendGreeting();
  void onMessage(const message &Message);
  void onExtended(const message &Message);
  void onQuery(const std::string &Sql);
  void stepSimple();
  void finishSimple();
  void onParse(message_reader Reader);
  void onBind(message_reader Reader);
  void onDescribe(message_reader Reader);
  void onExecute(message_reader Reader);
  void stepExecute();
  void sendRows(portal &Portal);
  void onClose(message_reader Reader);
  void onSync();
  void readyForQuery();
  std::optional<result> run(const statement &Statement,
                            const std::vector<value> &Parameters);
  std::optional<result> runOnTables(const statement &Statement,
                                    const std::vector<value> &Parameters);
  std::optional<result> runBoundary(const statement &Statement);
  result runSetting(const statement &Statement);
  bool acquireSlot();
  void waitForLock(std::uint32_t Owner);
  void checkDeadlock();
  value callFunction(const std::string &Name,
                     const std::vector<value> &Arguments);
  value sleep(const std::vector<value> &Arguments);
  void onError(const sql_error &Error);
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

  bool Started = false;
  bool Replicating = false;
  bool Closed = false;
  bool Processing = false;
  sender_state Sender;

  wait Waiting = wait::None;
  bool Served = false;
  bool HoldsSlot = false;
  bool Slept = false;
  std::optional<duration> SleepAsked;
  std::optional<std::uint32_t> LockOwner;
  timer_subscription Timer;

  transaction Transaction;
  bool InBlock = false;
  bool Failed = false;
  bool SkipToSync = false;

  bool InSimple = false;
  std::vector<statement> Batch;
  std::size_t BatchNext = 0;
  std::unordered_map<std::string, prepared_statement> Prepared;
  std::unordered_map<std::string, portal> Portals;
  std::optional<std::string> Executing;
  std::int32_t ExecutingRows = 0;
  execution_environment Environment;
};

} // namespace teasellock::stand_in
