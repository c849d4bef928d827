/// One connection to an upstream, on the event loop.
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

/// Where and as whom to connect.
struct upstream_target {
  endpoint Address;
  std::string Database;
  std::string User;
  std::string Password;
  std::string ApplicationName;
  /// libpq's sslmode.
  std::string SslMode = "disable";
  std::string SslRootCertificate;
  duration ConnectTimeout = fromMilliseconds(1000);
};

/// One thing to do on a connection.
struct upstream_operation {
  wire::statement_step Step;
  /// The gateway's own: only its errors are part of the answer.
  bool Hidden = false;
  /// Keep the statement prepared for the next time (execute).
  bool Prepare = true;
};

/// A hidden simple query.
upstream_operation hiddenQuery(std::string Sql);

/// A hidden statement of the extended protocol, without parameters and not
/// kept prepared.
upstream_operation hiddenStatement(std::string Sql);

/// The SQL error at which operations ended.
struct operation_failure {
  /// Index of the operation.
  std::size_t Operation = 0;
  std::string Code;
  std::string Message;
};

/// How a run of operations ended.
struct run_result {
  /// The connection was lost: nothing is known of what had no answer.
  bool Broken = false;
  /// Something may have reached the upstream.
  bool Sent = false;
  std::string Problem;
  std::optional<operation_failure> Failure;
  /// The answer, without the parts already handed on.
  std::string Messages;
  /// 'I', 'T' or 'E' after the operations.
  char TransactionStatus = 'I';
  /// Commands completed that were not hidden.
  std::uint32_t Completed = 0;
  /// Every completed command that was not hidden was a ROLLBACK.
  bool OnlyRollbacks = true;
  /// A command changed the session's state beyond transactions.
  bool SessionChanged = false;
  /// Rows, when collected.
  std::vector<text_table> Tables;
};

/// What a run reports. Neither is called after close().
struct run_events {
  /// A part of the answer is complete; more follows. May be empty.
  std::function<void(std::string)> Part;
  std::function<void(run_result)> Done;
  /// Collect rows as text instead of encoding messages.
  bool Collect = false;
};

/// A connection to an upstream. Runs one list of operations at a time.
class upstream_connection {
public:
  /// Starts to connect. Opened is called once: with nothing when the
  /// connection can be used, else with the error.
  upstream_connection(daemon_context &Context, upstream_target Target,
                      std::function<void(std::optional<error>)> Opened);
  ~upstream_connection();
  upstream_connection(const upstream_connection &) = delete;
  upstream_connection &operator=(const upstream_connection &) = delete;

  /// Called when an idle connection ends.
  void onLost(std::function<void()> Callback);

  /// Runs operations in order up to the first error. Lists without simple
  /// queries go out in one round trip.
  void run(std::vector<upstream_operation> Operations, run_events Events);

  /// Ends the connection at once. Safe inside its own callbacks.
  void close();

  bool isOpen() const;
  /// The back-end process, 0 before opening.
  int backEndPid() const;
  /// When the upstream was last heard on this connection.
  time_point lastHeard() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

/// Whether the error says that nobody listens at the upstream's address.
bool isRefusal(const error &Error);

} // namespace teasellock
