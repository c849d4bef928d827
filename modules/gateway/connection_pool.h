#pragma once

#include "modules/upstream/upstream_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace teasellock {

/// Session settings (GUC parameters) by name.
using session_settings = std::map<std::string, std::string>;

/// A connection to an upstream and the known state of its session.
struct pooled_connection {
  std::unique_ptr<upstream_connection> Connection;
  /// The settings that the pool has applied to the session.
  session_settings Settings;
  /// A statement may have changed session state that Settings does not list:
  /// the session must be reset before it is used again.
  bool SessionChanged = false;
  time_point IdleSince;
};

/// The result of a request for a connection.
struct acquire_result {
  std::unique_ptr<pooled_connection> Connection;
  /// Why there is no connection.
  std::optional<error> Problem;
  /// The upstream's error about the caller's settings, as encoded back-end
  /// messages for the caller. Empty for other errors.
  std::string SettingsError;
};

/// The connections to one upstream that execute callers' statements. The pool
/// enforces no limits: admission_state decides how many connections there are.
class connection_pool {
public:
  /// CheckTimeout: how long the check of a long idle connection may take before
  /// a new connection is opened in its place. IdleLost: called when an idle
  /// connection was closed by the upstream or by an error.
  connection_pool(daemon_context &Context, upstream_target Target,
                  duration CheckTimeout, std::function<void()> IdleLost);
  ~connection_pool();

  /// Passes an idle connection, or a new one if none is idle, to Ready once the
  /// settings have been applied.
  void acquire(session_settings Settings,
               std::function<void(acquire_result)> Ready);

  /// Returns a usable connection to the pool.
  void release(std::unique_ptr<pooled_connection> Connection);

  /// Closes up to Count connections, the longest idle ones first.
  void closeIdle(std::size_t Count);

  /// Returns the number of idle connections.
  std::size_t idleCount() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace teasellock
