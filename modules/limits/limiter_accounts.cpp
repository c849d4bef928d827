#include "modules/limits/limiter_accounts.h"

#include "modules/limits/limit_shares.h"

namespace teasellock {

void applyLease(limiter_accounts &Accounts, time_point LeaseEnd,
                time_point Now) {
  if (Accounts.LeaseEnd <= Now)
    Accounts.ByShare.clear();
  Accounts.LeaseEnd = LeaseEnd;
}

bool hasLease(const limiter_accounts &Accounts, time_point Now) {
  return Now < Accounts.LeaseEnd;
}

void retainAccounts(limiter_accounts &Accounts,
                    const std::function<bool(const organisation_id &,
                                             std::uint32_t)> &IsRetained) {
  std::erase_if(Accounts.ByShare, [&](const auto &Item) {
    return !IsRetained(Item.first.first, Item.first.second);
  });
}

std::optional<limit_answer>
answerDemand(limiter_accounts &Accounts, const limit_share &Share,
             const std::optional<operation_limit> &Limit,
             const limit_entry &Entry, const limit_demand &Demand,
             time_point Now) {
  limit_answer Answer{Demand.Wanted, true, Demand.SentAt};
  if (!Limit)
    return Answer;
  auto [Account, IsNew] = Accounts.ByShare.try_emplace(Share);
  auto ShareLimit = shareOf(*Limit);
  if (IsNew)
    Account->second.Bucket = makeBucket(ShareLimit, Now);
  applyLimit(Account->second.Bucket, ShareLimit, Now);
  auto Granted = handleDemand(Account->second, Entry, Demand, Now);
  if (!Granted)
    return std::nullopt;
  Answer.Granted = *Granted;
  return Answer;
}

} // namespace teasellock
