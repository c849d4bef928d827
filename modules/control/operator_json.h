/// JSON of the operators' HTTP API.
#pragma once

#include "modules/control/leader_state.h"

#include <nlohmann/json_fwd.hpp>

namespace teasellock {

/// Returns the rows of the table and its version.
nlohmann::json tableJson(const control_state &State);

/// Returns the deployment in force: version, routes, limits of the groups, and
/// organisations with fingerprints of their keys.
nlohmann::json deploymentJson(const control_state &State);

/// Returns one group: its state, the gateways' latest probes, and the reason if
/// a promotion waits.
nlohmann::json groupJson(const group_state &Group, const leader_state &Leader);

/// Returns a summary of each group.
nlohmann::json groupsJson(const control_state &State,
                          const leader_state &Leader);

/// Returns all VMs with their applied revisions and the remaining time of their
/// leases.
nlohmann::json vmsJson(const control_state &State, const leader_state &Leader,
                       const decision_settings &Settings, time_point Now);

/// Returns the limiter slots with their holders and the remaining time of the
/// holders' limiter leases. No slots: no organisation has a limit.
nlohmann::json limitersJson(const control_state &State,
                            const leader_state &Leader,
                            const decision_settings &Settings, time_point Now);

/// Returns the table's version and the VMs that have not applied the latest
/// change of a group yet.
nlohmann::json tableStatusJson(const control_state &State,
                               const leader_state &Leader, time_point Now);

/// Returns the open proposals and whether they have been rejected.
nlohmann::json proposalsJson(const leader_state &Leader);

/// Returns what a promotion by an operator may lose: acknowledged writes beyond
/// the highest reported position of the upstream.
nlohmann::json promotionRiskJson(const group_state &Group,
                                 const leader_state &Leader,
                                 const upstream_id &Upstream);

/// An HTTP status and a JSON body.
struct operator_result {
  int Status = 200;
  std::string Body;
};
/// Returns the outcome of an edit: 200 with the table's version, or 409 with
/// the version and the edit that won.
operator_result editResult(const edit_outcome &Answer);

/// Returns an error in the API's format.
operator_result errorResult(int Status, const std::string &Reason);

} // namespace teasellock
