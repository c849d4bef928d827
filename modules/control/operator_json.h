/// What the control leader shows to operators, as JSON.
#pragma once

#include "modules/control/leader_state.h"

#include <nlohmann/json_fwd.hpp>

namespace teasellock {

/// The table with its version.
nlohmann::json tableJson(const control_state &State);

/// The deployment in force: its version and routes.
nlohmann::json deploymentJson(const deployment &Deployment);

/// One group: its view, and why nothing is promoted if something should be.
nlohmann::json groupJson(const group_state &Group, const leader_state &Leader);

/// All groups in short.
nlohmann::json groupsJson(const control_state &State,
                          const leader_state &Leader);

/// All VMs with the revision they applied and what is left of their leases.
nlohmann::json vmsJson(const control_state &State, const leader_state &Leader,
                       const decision_settings &Settings, time_point Now);

/// Which VMs have not applied the latest table yet.
nlohmann::json tableStatusJson(const control_state &State,
                               const leader_state &Leader, time_point Now);

nlohmann::json proposalsJson(const leader_state &Leader);

/// What a promotion by hand may lose: acknowledged positions beyond that of
/// the upstream, and replicas that were not heard.
nlohmann::json promotionRiskJson(const group_state &Group,
                                 const leader_state &Leader,
                                 const upstream_id &Upstream);

/// The first answer to an edit: 200 with the version, or 409 with the winner.
struct operator_result {
  int Status = 200;
  std::string Body;
};
operator_result editResult(const edit_answer &Answer);

/// An error as the API shows it.
operator_result errorResult(int Status, const std::string &Reason);

} // namespace teasellock
