#pragma once

#include "core/endpoint.h"
#include "core/timer_service.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace teasellock::bench {

/// The outcome of a query.
enum class query_outcome {
  Succeeded,   // with rows or a command tag
  ServerError, // with an SQLSTATE
  Lost         // connection lost or no result before the timeout
};

/// The result of one query.
struct query_result {
  query_outcome Outcome = query_outcome::Lost;
  std::string SqlState;
  std::string Message;
  std::vector<std::vector<std::string>> Rows;
};

/// Connection parameters.
struct connect_request {
  endpoint Target;
  std::string Database;
  std::string ApplicationName;
  /// Token of the session to continue, or empty.
  std::string SessionToken;
};

/// A non-blocking libpq connection. Callbacks may destroy the client.
class sql_client {
public:
  sql_client(event_loop &Loop, timer_service &Timers);
  ~sql_client();

  /// Connects. Done receives whether it succeeded, and the reason if not.
  void connect(const connect_request &Request, duration Timeout,
               std::function<void(bool, const std::string &)> Done);

  /// Sends a simple query. Only one may be in progress.
  void query(const std::string &Sql, duration Timeout,
             std::function<void(const query_result &)> Done);

  /// Closes the connection.
  void close();

  /// Whether a query can be sent.
  bool isUsable() const;

  /// Returns the last session token that the entry reported, or an empty
  /// string.
  std::string sessionToken() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace teasellock::bench
