/// What an entry holds of one share of an organisation's limit: operations that
/// were granted to it and not used, the callers that wait for one, and its
/// request to the limiter. Pure functions of state, message and time;
/// limit_service executes the effects.
#pragma once

#include "modules/limits/limit_bucket.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace teasellock {

/// How long a caller waits for an operation.
constexpr duration LimitWaitTimeout = std::chrono::milliseconds(300);

/// An entry that starts operations at a high rate asks for this time's worth
/// beyond those that wait, so that most operations find one in hand. Shorter
/// than the validity, so that few are left over.
constexpr duration AheadPeriod = std::chrono::milliseconds(150);

/// The rate, in operations a second, above which an entry asks ahead.
constexpr double MinAheadRate = 10;

/// Whether an operation may start.
enum class limit_verdict {
  Granted,
  /// The organisation has used up its limit.
  LimitReached,
  /// The limiter did not answer in time.
  Unavailable,
};

/// Returns the verdict's name in logs and metrics.
const char *toString(limit_verdict Verdict);

/// Number of a waiting caller; increases with each one.
using limit_ticket = strong_type<struct limit_ticket_tag, std::uint64_t>;

/// The answer to a caller that asked for an operation.
struct limit_resolution {
  limit_ticket Ticket;
  limit_verdict Verdict = limit_verdict::Unavailable;
  /// Granted: until when the operation may be used or given back.
  time_point ValidUntil;
};

/// Operations in hand.
struct limit_batch {
  std::uint32_t Operations = 0;
  time_point ValidUntil;
};

/// A caller that waits for an operation.
struct waiting_caller {
  limit_ticket Ticket;
  time_point Deadline;
};

/// The request that the limiter has not answered.
struct sent_demand {
  time_point SentAt;
  std::uint32_t Wanted = 0;
  /// Callers that waited when the request was sent, and the last of them.
  std::uint32_t Waiting = 0;
  limit_ticket LastWaiting;
};

/// State of one share of an organisation's limit at an entry.
struct limit_holdings {
  /// The first valid ones first.
  std::deque<limit_batch> Batches;
  /// In the order of their arrival.
  std::deque<waiting_caller> Waiting;
  std::optional<sent_demand> InFlight;
  /// When the last request was sent.
  time_point LastSentAt;
  /// No request is sent before, after one could not be sent or was rejected.
  time_point RetryAt;
  /// Nothing is asked for ahead before, after the limiter granted less.
  time_point NextAheadAt;
  /// Operations that were started a second, as a moving average.
  double StartRate = 0;
  time_point StartRateAt;
};

/// What the caller of the functions below has to do.
struct limit_effects {
  std::vector<limit_resolution> Resolved;
  /// Requests to send to the limiter now.
  std::vector<limit_demand> Send;
  /// Operations that expired unused.
  std::uint32_t Expired = 0;
};

/// A limiter's answer.
struct limit_answer {
  std::uint32_t Granted = 0;
  /// False: the receiver is not the limiter, or its lease has ended.
  bool IsLimiter = false;
  /// SentAt of the request.
  time_point SentAt;
};

/// Handles a caller that wants to start an operation. It is resolved at once if
/// one is in hand.
void handleCaller(limit_holdings &Holdings, const waiting_caller &Caller,
                  time_point Now, limit_effects &Effects);

/// Handles the answer to a request. Answers to other requests than the one in
/// flight are ignored.
void handleAnswer(limit_holdings &Holdings, const limit_answer &Answer,
                  time_point Now, limit_effects &Effects);

/// Handles that a request could not be sent.
void handleSendFailure(limit_holdings &Holdings, time_point SentAt,
                       time_point Now);

/// Handles that another process has become the limiter, or that the limiter can
/// be reached again: what is in flight is not waited for.
void handleLimiterChanged(limit_holdings &Holdings, time_point Now,
                          limit_effects &Effects);

/// Handles that the limiter can no longer be reached: callers don't wait for
/// it.
void handleLimiterLost(limit_holdings &Holdings, limit_effects &Effects);

/// Takes back an operation that certainly did not reach an upstream.
void handleGivenBack(limit_holdings &Holdings, time_point ValidUntil,
                     time_point Now, limit_effects &Effects);

/// Handles the passing of time: callers that waited too long, requests without
/// an answer, and operations that expire or are to be returned before.
void handleDue(limit_holdings &Holdings, time_point Now,
               limit_effects &Effects);

/// Returns when handleDue is to be called next; nullopt if not before another
/// event.
std::optional<time_point> nextDue(const limit_holdings &Holdings);

} // namespace teasellock
