/// An asynchronous connection to a PostgreSQL upstream on the event loop.
#pragma once

#include "core/daemon_context.h"
#include "core/error.h"
#include "modules/gateway/gen/gateway_messages_types.h"
#include "modules/upstream/dialect.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// The address and credentials of an upstream.
struct upstream_target {
  endpoint Address;
  std::string Database;
  std::string User;
  std::string Password;
  std::string ApplicationName;
  /// The sslmode of libpq.
  std::string SslMode = "disable";
  std::string SslRootCertificate;
  duration ConnectTimeout = fromMilliseconds(1000);
};

/// One operation on a connection.
struct upstream_operation {
  wire::statement_step Step;
  /// It originates from the gateway: only its errors are part of the answer.
  bool Hidden = false;
  /// Keep the statement prepared for later executions (execute).
  bool Prepare = true;
};

/// Returns a hidden simple query.
upstream_operation hiddenQuery(std::string Sql);

/// Returns a hidden statement of the extended protocol, without parameters and
/// not kept prepared.
upstream_operation hiddenStatement(std::string Sql);

/// The SQL error that ended the execution of operations.
struct operation_failure {
  /// The index of the failed operation.
  std::size_t Operation = 0;
  /// SQLSTATE.
  std::string Code;
  std::string Message;
};

/// The result of the execution of operations.
struct execution_result {
  /// The connection was lost. The outcome of operations without an answer is
  /// unknown if Sent is set.
  bool ConnectionLost = false;
  /// Operations may have reached the upstream.
  bool Sent = false;
  /// Why the connection was lost.
  std::string Problem;
  std::optional<operation_failure> Failure;
  /// The answer as encoded messages, without the parts already delivered.
  std::string Messages;
  /// 'I', 'T' or 'E' after the operations.
  char TransactionStatus = 'I';
  /// The number of completed commands that were not hidden.
  std::uint32_t Completed = 0;
  /// Every completed command that was not hidden was a ROLLBACK.
  bool OnlyRollbacks = true;
  /// A command changed session state that outlasts the transaction.
  bool SessionChanged = false;
  /// The results, one table each, if execution_callbacks::Collect was set.
  std::vector<text_table> Tables;
};

/// The callbacks of an execution. Neither is called after close().
struct execution_callbacks {
  /// Receives each complete part of the answer before the last. May be empty.
  std::function<void(std::string)> OnPart;
  /// Called once at the end.
  std::function<void(execution_result)> OnDone;
  /// Collect rows as text instead of encoding messages.
  bool Collect = false;
};

/// A connection to an upstream. Executes one list of operations at a time.
class upstream_connection {
public:
  /// Starts to connect. Opened is called once: without an error when the
  /// connection can be used, else with the error, whose step is
  /// "upstream.connect".
  upstream_connection(daemon_context &Context, upstream_target Target,
                      std::function<void(std::optional<error>)> Opened);
  ~upstream_connection();
  upstream_connection(const upstream_connection &) = delete;
  upstream_connection &operator=(const upstream_connection &) = delete;

  /// Sets the callback for the loss of the connection while it is idle.
  void onLost(std::function<void()> Callback);

  /// Executes operations in order up to the first error. Lists without simple
  /// queries are pipelined in one round trip.
  void execute(std::vector<upstream_operation> Operations,
               execution_callbacks Events);

  /// Closes the connection at once. May be called from its own callbacks.
  void close();

  bool isOpen() const;
  /// Returns the process id of the back-end, 0 if not connected.
  int backEndPid() const;
  /// Returns when data were last received on this connection.
  time_point lastReceivedAt() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

/// Reports whether the error says that the connection was refused or reset, as
/// is the case when no server listens at the upstream's address.
bool isConnectionRefused(const error &Error);

} // namespace teasellock
