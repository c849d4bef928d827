#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// A deployment in memory, built by the commands and decisions of control.
struct simulated_deployment {
  control_state State;
  leader_state Leader;
  decision_settings Settings;
  time_point Now;
  std::size_t Vms = 0;
  std::size_t Groups = 0;
};

/// So many VMs over 3 regions and 11 availability zones, with the groups that
/// belong to that size, every group with a primary and its gateways.
simulated_deployment makeDeployment(std::size_t Vms);

/// The renewal that a VM of the deployment sends when nothing is wrong.
wire::renewal makeRenewal(const simulated_deployment &Deployment,
                          std::size_t Vm);

/// The rows of the deployment's table.
std::vector<table_row> makeRows(std::size_t Groups);

} // namespace teasellock
