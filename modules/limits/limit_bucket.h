/// The token bucket of one share of an organisation's limit at its limiter, and
/// the account of what each entry was granted from it. Pure functions of state,
/// message and time.
#pragma once

#include "core/ids.h"
#include "core/time.h"
#include "modules/deployment/deployment.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace teasellock {

/// How long an entry may use a batch of granted operations, counted on its own
/// clock from when it sent the request. What starts in a window of W = 5 s was
/// granted in W plus this: at a burst of one second's rate, 6.25 * rate of the
/// 6.6 * rate + 20 that may reach upstreams. The rest is for waits at gateways,
/// returned operations and clocks. With 400 ms and clocks whose rates differ by
/// 5%, the worst case is 6.69 * rate, which is too much above 217 operations a
/// second.
constexpr duration BatchValidity = std::chrono::milliseconds(250);

/// Operations that a new bucket holds at most: it does not know what an earlier
/// limiter has just granted. An organisation has four buckets.
constexpr double InitialOperations = 2;

/// A token bucket. One token is one operation.
struct limit_bucket {
  operation_limit Limit;
  double Tokens = 0;
  time_point UpdatedAt;
};

/// Returns a bucket with min(burst, InitialOperations) tokens.
limit_bucket makeBucket(const operation_limit &Limit, time_point Now);

/// Changes the limit from now on. Tokens beyond the new capacity are lost.
void applyLimit(limit_bucket &Bucket, const operation_limit &Limit,
                time_point Now);

/// Removes operations for Waiting callers, as far as there are, and up to Ahead
/// further ones from a part of what is left. Returns how many were removed.
std::uint32_t extractOperations(limit_bucket &Bucket, std::uint32_t Waiting,
                                std::uint32_t Ahead, time_point Now);

/// Adds operations that were granted but not used.
void returnOperations(limit_bucket &Bucket, std::uint32_t Count,
                      time_point Now);

/// An entry: a process that asks for operations.
struct limit_entry {
  vm_id Vm;
  incarnation Incarnation;

  auto operator<=>(const limit_entry &) const = default;
};

/// A request of an entry: operations it wants and unused ones it returns.
struct limit_demand {
  /// Includes Waiting.
  std::uint32_t Wanted = 0;
  /// Callers that wait; the others are wanted for later.
  std::uint32_t Waiting = 0;
  std::uint32_t Returned = 0;
  /// On the entry's clock. Identifies the request: increases with each one.
  time_point SentAt;
};

/// What an entry was granted lately.
struct granted_batch {
  time_point GrantedAt;
  std::uint32_t Operations = 0;
};

/// What a limiter knows of one entry.
struct entry_account {
  time_point LastSentAt;
  std::deque<granted_batch> Granted;
};

/// A bucket and the entries that use it.
struct limit_account {
  limit_bucket Bucket;
  std::map<limit_entry, entry_account> Entries;
  /// When entries that no longer ask were last removed.
  time_point PrunedAt;
};

/// Handles a request: takes back what the entry returns, and returns how many
/// operations it is granted. Operations are taken back only if the entry was
/// granted as many within the validity of a batch; later ones would add to what
/// the bucket has gained since. Returns nullopt for a request that is repeated
/// or was overtaken by a later one, so that no return counts twice.
std::optional<std::uint32_t> handleDemand(limit_account &Account,
                                          const limit_entry &Entry,
                                          const limit_demand &Demand,
                                          time_point Now);

} // namespace teasellock
