/// Wire form of the messages between entries and limiters.
#pragma once

#include "modules/limits/limit_holdings.h"

#include <string>

namespace teasellock {

/// An entry asks the limiter of a share of an organisation's limit.
struct limit_request {
  organisation_id Organisation;
  /// Below LimitShares.
  std::uint32_t Share = 0;
  limit_demand Demand;
};

/// The limiter's answer.
struct limit_grant {
  organisation_id Organisation;
  /// Below LimitShares.
  std::uint32_t Share = 0;
  limit_answer Answer;
};

std::string encodeLimitRequest(const limit_request &Request);
std::string encodeLimitGrant(const limit_grant &Grant);

/// These throw error with the step "limits.decode" and Peer if the message is
/// malformed or its share does not exist.
limit_request parseLimitRequest(const std::string &Body,
                                const std::string &Peer);
limit_grant parseLimitGrant(const std::string &Body);

} // namespace teasellock
