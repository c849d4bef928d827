#include "modules/limits/limit_holdings.h"

#include <algorithm>
#include <cmath>

namespace teasellock {

namespace {

/// Unused operations are returned this long before they expire: the longest
/// usual way to a limiter takes 12 ms.
constexpr duration ReturnLead = std::chrono::milliseconds(60);
/// Delay before the next request after one failed or was rejected.
constexpr duration RetryDelay = std::chrono::milliseconds(20);
/// Pause of requests ahead of demand after the limiter granted less than was
/// asked for. Without it, a request would follow every answer.
constexpr duration AheadPause = std::chrono::milliseconds(50);
/// Time constant of the moving average of started operations.
constexpr std::chrono::duration<double> RateTimeConstant =
    std::chrono::milliseconds(500);

double startRateAt(const limit_holdings &Holdings, time_point Now) {
  std::chrono::duration<double> Since = Now - Holdings.StartRateAt;
  return Holdings.StartRate * std::exp(-Since / RateTimeConstant);
}

void recordStart(limit_holdings &Holdings, time_point Now) {
  Holdings.StartRate =
      startRateAt(Holdings, Now) + 1 / RateTimeConstant.count();
  Holdings.StartRateAt = Now;
}

/// Operations to have in hand beyond those that callers wait for.
std::uint32_t aheadOf(const limit_holdings &Holdings, time_point Now) {
  if (Now < Holdings.NextAheadAt)
    return 0;
  double Rate = startRateAt(Holdings, Now);
  if (Rate <= MinAheadRate)
    return 0;
  std::chrono::duration<double> Period = AheadPeriod;
  return static_cast<std::uint32_t>(std::ceil(Rate * Period.count()));
}

std::uint32_t operationsInHand(const limit_holdings &Holdings) {
  std::uint32_t Sum = 0;
  for (const auto &Batch : Holdings.Batches)
    Sum += Batch.Operations;
  return Sum;
}

void dropExpired(limit_holdings &Holdings, time_point Now,
                 limit_effects &Effects) {
  while (!Holdings.Batches.empty() &&
         Holdings.Batches.front().ValidUntil <= Now) {
    Effects.Expired += Holdings.Batches.front().Operations;
    Holdings.Batches.pop_front();
  }
}

void addBatch(limit_holdings &Holdings, const limit_batch &Batch) {
  auto After = std::ranges::upper_bound(Holdings.Batches, Batch.ValidUntil, {},
                                        &limit_batch::ValidUntil);
  Holdings.Batches.insert(After, Batch);
}

/// Gives the operations in hand to the callers that wait.
void serveWaiting(limit_holdings &Holdings, time_point Now,
                  limit_effects &Effects) {
  dropExpired(Holdings, Now, Effects);
  while (!Holdings.Waiting.empty() && !Holdings.Batches.empty()) {
    auto &Batch = Holdings.Batches.front();
    Effects.Resolved.push_back({Holdings.Waiting.front().Ticket,
                                limit_verdict::Granted, Batch.ValidUntil});
    Holdings.Waiting.pop_front();
    recordStart(Holdings, Now);
    if (--Batch.Operations == 0)
      Holdings.Batches.pop_front();
  }
}

/// Removes the operations that expire soon, to return them.
std::uint32_t extractReturnable(limit_holdings &Holdings, time_point Now) {
  std::uint32_t Count = 0;
  while (!Holdings.Batches.empty() &&
         Holdings.Batches.front().ValidUntil - Now <= ReturnLead) {
    Count += Holdings.Batches.front().Operations;
    Holdings.Batches.pop_front();
  }
  return Count;
}

/// Adds the operations to ask for now. What is in hand for later is filled up
/// when half of it has been used.
void addWanted(const limit_holdings &Holdings, time_point Now,
               limit_demand &Demand) {
  if (Holdings.InFlight || Now < Holdings.RetryAt)
    return;
  std::uint32_t Ahead = aheadOf(Holdings, Now);
  std::uint32_t InHand = operationsInHand(Holdings);
  Demand.Waiting = static_cast<std::uint32_t>(Holdings.Waiting.size());
  Demand.Wanted = Demand.Waiting;
  if (InHand * 2 < Ahead)
    Demand.Wanted += Ahead - InHand;
}

void sendIfNeeded(limit_holdings &Holdings, time_point Now,
                  limit_effects &Effects) {
  limit_demand Demand;
  Demand.Returned = extractReturnable(Holdings, Now);
  addWanted(Holdings, Now, Demand);
  if (Demand.Returned == 0 && Demand.Wanted == 0)
    return;
  // Limiters tell requests apart by the time.
  Demand.SentAt = std::max(Now, Holdings.LastSentAt + duration(1));
  Holdings.LastSentAt = Demand.SentAt;
  if (Demand.Wanted > 0)
    Holdings.InFlight = {Demand.SentAt, Demand.Wanted, Demand.Waiting,
                         Demand.Waiting == 0 ? limit_ticket()
                                             : Holdings.Waiting.back().Ticket};
  Effects.Send.push_back(Demand);
}

void resolveTimedOut(limit_holdings &Holdings, time_point Now,
                     limit_effects &Effects) {
  std::erase_if(Holdings.Waiting, [&](const waiting_caller &Caller) {
    if (Now < Caller.Deadline)
      return false;
    Effects.Resolved.push_back({Caller.Ticket, limit_verdict::Unavailable, {}});
    return true;
  });
}

/// Refuses the callers that were counted in the request.
void refuseCounted(limit_holdings &Holdings, limit_ticket LastWaiting,
                   limit_effects &Effects) {
  while (!Holdings.Waiting.empty() &&
         Holdings.Waiting.front().Ticket <= LastWaiting) {
    Effects.Resolved.push_back(
        {Holdings.Waiting.front().Ticket, limit_verdict::LimitReached, {}});
    Holdings.Waiting.pop_front();
  }
}

} // namespace

const char *toString(limit_verdict Verdict) {
  switch (Verdict) {
  case limit_verdict::Granted:
    return "granted";
  case limit_verdict::LimitReached:
    return "refused";
  case limit_verdict::Unavailable:
    return "unavailable";
  }
  return "";
}

void handleCaller(limit_holdings &Holdings, const waiting_caller &Caller,
                  time_point Now, limit_effects &Effects) {
  Holdings.Waiting.push_back(Caller);
  handleDue(Holdings, Now, Effects);
}

void handleAnswer(limit_holdings &Holdings, const limit_answer &Answer,
                  time_point Now, limit_effects &Effects) {
  if (!Holdings.InFlight || Holdings.InFlight->SentAt != Answer.SentAt)
    return;
  auto Sent = *Holdings.InFlight;
  Holdings.InFlight.reset();
  if (!Answer.IsLimiter) {
    Holdings.RetryAt = Now + RetryDelay;
    return handleDue(Holdings, Now, Effects);
  }
  std::uint32_t Granted = std::min(Answer.Granted, Sent.Wanted);
  if (Granted > 0)
    addBatch(Holdings, {Granted, Sent.SentAt + BatchValidity});
  if (Granted < Sent.Wanted)
    Holdings.NextAheadAt = Now + AheadPause;
  bool IsValid = Sent.SentAt + BatchValidity > Now;
  serveWaiting(Holdings, Now, Effects);
  if (Granted < Sent.Waiting && IsValid)
    refuseCounted(Holdings, Sent.LastWaiting, Effects);
  handleDue(Holdings, Now, Effects);
}

void handleSendFailure(limit_holdings &Holdings, time_point SentAt,
                       time_point Now) {
  if (!Holdings.InFlight || Holdings.InFlight->SentAt != SentAt)
    return;
  Holdings.InFlight.reset();
  Holdings.RetryAt = Now + RetryDelay;
}

void handleLimiterChanged(limit_holdings &Holdings, time_point Now,
                          limit_effects &Effects) {
  Holdings.InFlight.reset();
  Holdings.RetryAt = Now;
  handleDue(Holdings, Now, Effects);
}

void handleLimiterLost(limit_holdings &Holdings, limit_effects &Effects) {
  Holdings.InFlight.reset();
  for (const auto &Caller : Holdings.Waiting)
    Effects.Resolved.push_back({Caller.Ticket, limit_verdict::Unavailable, {}});
  Holdings.Waiting.clear();
}

void handleGivenBack(limit_holdings &Holdings, time_point ValidUntil,
                     time_point Now, limit_effects &Effects) {
  addBatch(Holdings, {1, ValidUntil});
  handleDue(Holdings, Now, Effects);
}

void handleDue(limit_holdings &Holdings, time_point Now,
               limit_effects &Effects) {
  serveWaiting(Holdings, Now, Effects);
  resolveTimedOut(Holdings, Now, Effects);
  // A grant that arrives later can't be used.
  if (Holdings.InFlight && Holdings.InFlight->SentAt + BatchValidity <= Now)
    Holdings.InFlight.reset();
  sendIfNeeded(Holdings, Now, Effects);
}

std::optional<time_point> nextDue(const limit_holdings &Holdings) {
  std::optional<time_point> Due;
  auto Consider = [&Due](time_point At) {
    Due = Due ? std::min(*Due, At) : At;
  };
  if (!Holdings.Batches.empty())
    Consider(Holdings.Batches.front().ValidUntil - ReturnLead);
  for (const auto &Caller : Holdings.Waiting)
    Consider(Caller.Deadline);
  if (Holdings.InFlight)
    Consider(Holdings.InFlight->SentAt + BatchValidity);
  else if (!Holdings.Waiting.empty())
    Consider(Holdings.RetryAt);
  return Due;
}

} // namespace teasellock
