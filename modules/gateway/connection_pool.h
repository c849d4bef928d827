#pragma once

#include "modules/upstream/upstream_connection.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace teasellock {

using session_settings = std::map<std::string, std::string>;

/// A connection to an upstream with what is known of its session.
struct pooled_connection {
  std::unique_ptr<upstream_connection> Connection;
  session_settings Settings;
  /// Its session may hold more than Settings.
  bool Changed = false;
  time_point IdleSince;
};

/// What came of asking for a connection.
struct acquired_connection {
  std::unique_ptr<pooled_connection> Connection;
  /// Why there is none.
  std::optional<error> Problem;
  /// The upstream's own error on the caller's settings, as messages.
  std::string SettingsRejected;
};

/// The connections to one upstream that carry statements. How many there may
/// be is decided by admission; the pool does as it is told.
class connection_pool {
public:
  /// IdleLost is called when an idle connection ended by itself.
  connection_pool(daemon_context &Context, upstream_target Target,
                  duration CheckTimeout, std::function<void()> IdleLost);
  ~connection_pool();

  /// Hands out an idle connection, or a new one when there is none, with the
  /// settings applied.
  void acquire(session_settings Settings,
               std::function<void(acquired_connection)> Ready);

  /// Takes a usable connection back.
  void give(std::unique_ptr<pooled_connection> Connection);

  /// Closes the longest idle connections.
  void closeIdle(std::size_t Count);

  std::size_t idle() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace teasellock
