/// The accounts of a limiter: of each share of an organisation's limit that it
/// counts. Pure functions of state, message and time.
#pragma once

#include "modules/limits/limit_holdings.h"

#include <functional>
#include <map>
#include <utility>

namespace teasellock {

/// A share of an organisation's limit, by its number.
using limit_share = std::pair<organisation_id, std::uint32_t>;

struct limiter_accounts {
  std::map<limit_share, limit_account> ByShare;
  /// End of the limiter lease when it was last applied.
  time_point LeaseEnd;
};

/// Applies the present end of the limiter lease. Forgets all accounts after a
/// time without a lease: another VM may have been the limiter meanwhile, even
/// if this one holds the slots again.
void applyLease(limiter_accounts &Accounts, time_point LeaseEnd,
                time_point Now);

bool hasLease(const limiter_accounts &Accounts, time_point Now);

/// Forgets the accounts for which IsRetained returns false.
void retainAccounts(limiter_accounts &Accounts,
                    const std::function<bool(const organisation_id &,
                                             std::uint32_t)> &IsRetained);

/// Answers a request under the organisation's limit; without a limit, grants
/// everything. Returns nullopt for a request that gets no answer, see
/// handleDemand().
std::optional<limit_answer>
answerDemand(limiter_accounts &Accounts, const limit_share &Share,
             const std::optional<operation_limit> &Limit,
             const limit_entry &Entry, const limit_demand &Demand,
             time_point Now);

} // namespace teasellock
