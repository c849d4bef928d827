#pragma once

#include "core/daemon_context.h"
#include "core/error.h"
#include "modules/line/line_protocol.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// The upstream that a connection is meant for.
struct line_target {
  endpoint Address;
  std::string Service;
  std::string User;
  upstream_id Upstream;
  /// Longest wait for the upstream's first message.
  duration ConnectTimeout;
};

/// The answer to one statement.
struct line_answer {
  std::vector<std::string> Rows;
  /// Of a statement that succeeded.
  std::string Signature;
  std::optional<line_failure> Failure;
  line_ready Ready;
};

/// How a run of statements ended.
struct line_run {
  /// In order; fewer than were sent when the connection was lost.
  std::vector<line_answer> Answers;
  /// The connection was lost: nothing is known of what has no answer.
  bool Broken = false;
  std::string Problem;
};

/// How the opening of a connection ended.
struct line_opening {
  std::optional<error> Problem;
  /// Nobody listens at the address.
  bool Refused = false;
  /// The upstream's own word, if it refused the session.
  std::optional<line_error> Code;
};

/// A connection to an upstream that speaks the line protocol. Runs one list of
/// statements at a time.
class line_connection {
public:
  /// Starts to connect. Opened is called once, not from inside the
  /// constructor.
  line_connection(daemon_context &Context, const line_protocol &Protocol,
                  line_target Target, std::function<void(line_opening)> Opened);
  ~line_connection();
  line_connection(const line_connection &) = delete;
  line_connection &operator=(const line_connection &) = delete;

  /// Called when a connection without a run ends by itself.
  void onLost(std::function<void()> Callback);

  /// Sends Count statements, written in Bytes, in one piece. Done is called
  /// once unless the connection is closed or destroyed before.
  void run(std::string Bytes, std::size_t Count,
           std::function<void(line_run)> Done);

  /// Ends the connection at once, without callbacks.
  void close();

  bool isOpen() const;
  /// When the upstream accepted the session.
  time_point openedAt() const;

private:
  struct state;
  std::shared_ptr<state> State;
};

} // namespace teasellock
