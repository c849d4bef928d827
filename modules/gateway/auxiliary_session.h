#pragma once

#include "modules/upstream/upstream_connection.h"

#include <functional>
#include <memory>

namespace teasellock {

/// A dedicated connection, outside of the pool, for single queries: checks of
/// unresponsive back-ends and promotions. It keeps itself alive while a query
/// is executing.
class auxiliary_session
    : public std::enable_shared_from_this<auxiliary_session> {
public:
  /// Receives the result of a query; ConnectionLost or Failure is set on
  /// errors.
  using answer = std::function<void(execution_result)>;

  /// Timeout applies to each query, including the time to connect.
  static std::shared_ptr<auxiliary_session>
  open(daemon_context &Context, upstream_target Target, duration Timeout);

  /// Executes one simple query, connecting first if necessary. Only one query
  /// may be in progress.
  void query(std::string Sql, answer Answer);

private:
  auxiliary_session(daemon_context &Context, upstream_target Target,
                    duration Timeout);
  void send();
  void finish(execution_result Result);

  daemon_context &Context;
  upstream_target Target;
  duration Timeout;
  std::unique_ptr<upstream_connection> Connection;
  std::string Sql;
  answer Answer;
  timer_subscription Timer;
  /// Keeps the session alive while a query is executing.
  std::shared_ptr<auxiliary_session> Self;
};

} // namespace teasellock
