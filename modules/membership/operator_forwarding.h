/// The requests of operators that this VM forwards to control's leader.
#pragma once

#include "core/endpoint.h"
#include "core/ids.h"
#include "core/time.h"
#include "modules/control/group_view.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace teasellock {

/// A request that is being forwarded, and where its reply goes: an HTTP status
/// and a body.
struct forwarded_request {
  wire::operator_request Request;
  std::function<void(int, std::string)> Callback;
  time_point Deadline;
  int Redirects = 0;
};

using forwarded_requests = std::map<request_id, forwarded_request>;

/// Returns the address of the leader if the reply is a redirection to it that
/// the request may follow: status 503 with a field `leader`.
std::optional<endpoint> redirectionOf(const forwarded_request &Request,
                                      const wire::operator_reply &Reply);

/// Ends a request that no control VM can take.
void failUnreachable(const forwarded_request &Request);

/// Removes the requests whose deadline has passed and ends them. Their outcome
/// is unknown.
void expireRequests(forwarded_requests &Requests, time_point Now);

} // namespace teasellock
