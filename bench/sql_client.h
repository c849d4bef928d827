#pragma once

#include "core/endpoint.h"
#include "core/timer_service.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace teasellock::bench {

/// How a statement ended.
enum class ending {
  Answered, // with rows or a command tag
  Refused,  // with an SQLSTATE
  Lost      // connection broken or no answer in time
};

/// The answer to one statement.
struct answer {
  ending Ending = ending::Lost;
  std::string SqlState;
  std::string Message;
  std::vector<std::vector<std::string>> Rows;
};

/// Where and as whom to connect.
struct connect_request {
  endpoint Target;
  std::string Database;
  std::string ApplicationName;
  /// The session to continue, or empty.
  std::string SessionToken;
};

/// One libpq connection without blocking. Callbacks may destroy the client.
class sql_client {
public:
  sql_client(event_loop &Loop, timer_service &Timers);
  ~sql_client();

  /// Connects; Done is told whether it worked and the reason if not.
  void connect(const connect_request &Request, duration Timeout,
               std::function<void(bool, const std::string &)> Done);

  /// Sends one simple query. At most one at a time.
  void query(const std::string &Sql, duration Timeout,
             std::function<void(const answer &)> Done);

  /// Ends the connection.
  void close();

  /// Whether a statement can be sent.
  bool usable() const;

  /// The last token that the entry reported for this session, or empty.
  std::string sessionToken() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace teasellock::bench
