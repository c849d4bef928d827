#pragma once

#include "modules/upstream/upstream_connection.h"

#include <functional>
#include <memory>

namespace teasellock {

/// A new connection of its own for a few queries besides the pool: checks of
/// silent statements and promotions. It lives while a query runs.
class side_session : public std::enable_shared_from_this<side_session> {
public:
  /// What a query brought: Broken or Failure set when there is no answer.
  using answer = std::function<void(run_result)>;

  static std::shared_ptr<side_session>
  open(daemon_context &Context, upstream_target Target, duration Timeout);

  /// Runs one simple query, connecting first when need be.
  void query(std::string Sql, answer Answer);

private:
  side_session(daemon_context &Context, upstream_target Target,
               duration Timeout);
  void send();
  void finish(run_result Result);

  daemon_context &Context;
  upstream_target Target;
  duration Timeout;
  std::unique_ptr<upstream_connection> Connection;
  std::string Sql;
  answer Answer;
  timer_subscription Timer;
  /// Keeps the session alive while a query runs.
  std::shared_ptr<side_session> Self;
};

} // namespace teasellock
