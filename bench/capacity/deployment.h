#pragma once

#include "modules/control/leader_state.h"

namespace teasellock {

/// A simulated deployment in memory, created by control's commands and
/// decisions.
struct simulated_deployment {
  control_state State;
  leader_state Leader;
  decision_settings Settings;
  time_point Now;
  std::size_t Vms = 0;
  std::size_t Groups = 0;
};

/// Creates a deployment of this many VMs in 3 regions and 11 availability
/// zones, with a proportional number of groups. Every group has a primary and
/// its gateways.
simulated_deployment makeDeployment(std::size_t Vms);

/// Returns the renewal that a VM sends in normal operation.
wire::renewal makeRenewal(const simulated_deployment &Deployment,
                          std::size_t Vm);

/// Returns the rows of the deployment's table.
std::vector<table_row> makeTableRows(std::size_t Groups);

} // namespace teasellock
