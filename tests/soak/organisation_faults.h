/// Faults of runs with organisations: fewer of the general ones, and changes of
/// keys.
#pragma once

#include "tests/soak/faults.h"

namespace teasellock::soak {

/// Generates the faults of a run with organisations. All end within the span.
std::vector<fault> generateOrganisationFaults(std::uint64_t Seed,
                                              duration Span);

/// Begins a fault that only runs with organisations have. Returns the function
/// that ends it; an empty function if the fault needs no end.
std::function<void()> beginOrganisationFault(soak_deployment &Deployment,
                                             const fault &Fault);

} // namespace teasellock::soak
