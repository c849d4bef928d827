#include "modules/limits/limit_bucket.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace teasellock {

namespace {

/// The part of the tokens that is granted ahead of demand. What one entry holds
/// unused must not make the limiter refuse callers of another one while the
/// bucket is nearly empty.
constexpr double AheadPart = 0.25;
/// Sums of fractions that should be a whole number may be this much below it.
constexpr double TokenTolerance = 1e-6;
/// How long a granted batch may be returned, on the limiter's clock: the
/// validity, and a tenth for differing clock rates and delays.
constexpr duration ReturnPeriod = BatchValidity + BatchValidity / 10;
/// An entry that has not asked for this long is forgotten. Its earlier requests
/// have arrived or been lost by then: links close after seconds of silence.
constexpr duration EntryRetention = std::chrono::seconds(60);

double capacityOf(const operation_limit &Limit) {
  return std::max(Limit.Burst, 1.0);
}

/// Returns the whole operations of a number of tokens.
std::uint32_t wholeOf(double Tokens) {
  constexpr double Max = std::numeric_limits<std::uint32_t>::max();
  return static_cast<std::uint32_t>(std::floor(std::clamp(Tokens, 0.0, Max)));
}

void refill(limit_bucket &Bucket, time_point Now) {
  if (Now > Bucket.UpdatedAt) {
    std::chrono::duration<double> Seconds = Now - Bucket.UpdatedAt;
    Bucket.Tokens += Seconds.count() * Bucket.Limit.RatePerSecond;
    Bucket.UpdatedAt = Now;
  }
  Bucket.Tokens = std::min(Bucket.Tokens, capacityOf(Bucket.Limit));
}

/// Removes up to Count operations from the batches that may still be returned,
/// and returns how many.
std::uint32_t extractReturnable(entry_account &Entry, std::uint32_t Count,
                                time_point Now) {
  while (!Entry.Granted.empty() &&
         Now - Entry.Granted.front().GrantedAt > ReturnPeriod)
    Entry.Granted.pop_front();
  std::uint32_t Extracted = 0;
  while (Extracted < Count && !Entry.Granted.empty()) {
    auto &Batch = Entry.Granted.front();
    std::uint32_t Part = std::min(Count - Extracted, Batch.Operations);
    Extracted += Part;
    Batch.Operations -= Part;
    if (Batch.Operations == 0)
      Entry.Granted.pop_front();
  }
  return Extracted;
}

void pruneEntries(limit_account &Account, time_point Now) {
  if (Now - Account.PrunedAt < EntryRetention)
    return;
  std::erase_if(Account.Entries, [&](const auto &Item) {
    const auto &Granted = Item.second.Granted;
    return Granted.empty() || Now - Granted.back().GrantedAt > EntryRetention;
  });
  Account.PrunedAt = Now;
}

} // namespace

limit_bucket makeBucket(const operation_limit &Limit, time_point Now) {
  return {Limit, std::min(Limit.Burst, InitialOperations), Now};
}

void applyLimit(limit_bucket &Bucket, const operation_limit &Limit,
                time_point Now) {
  if (Bucket.Limit == Limit)
    return;
  refill(Bucket, Now);
  Bucket.Limit = Limit;
  refill(Bucket, Now);
}

std::uint32_t extractOperations(limit_bucket &Bucket, std::uint32_t Waiting,
                                std::uint32_t Ahead, time_point Now) {
  refill(Bucket, Now);
  std::uint32_t ForWaiting =
      std::min(Waiting, wholeOf(Bucket.Tokens + TokenTolerance));
  Bucket.Tokens -= ForWaiting;
  std::uint32_t ForLater = std::min(Ahead, wholeOf(Bucket.Tokens * AheadPart));
  Bucket.Tokens -= ForLater;
  return ForWaiting + ForLater;
}

void returnOperations(limit_bucket &Bucket, std::uint32_t Count,
                      time_point Now) {
  refill(Bucket, Now);
  Bucket.Tokens += Count;
  refill(Bucket, Now);
}

std::optional<std::uint32_t> handleDemand(limit_account &Account,
                                          const limit_entry &Entry,
                                          const limit_demand &Demand,
                                          time_point Now) {
  pruneEntries(Account, Now);
  auto &Known = Account.Entries[Entry];
  if (Demand.SentAt <= Known.LastSentAt)
    return std::nullopt;
  Known.LastSentAt = Demand.SentAt;
  std::uint32_t Returned = extractReturnable(Known, Demand.Returned, Now);
  returnOperations(Account.Bucket, Returned, Now);
  std::uint32_t Waiting = std::min(Demand.Waiting, Demand.Wanted);
  std::uint32_t Granted =
      extractOperations(Account.Bucket, Waiting, Demand.Wanted - Waiting, Now);
  if (Granted > 0)
    Known.Granted.push_back({Now, Granted});
  return Granted;
}

} // namespace teasellock
