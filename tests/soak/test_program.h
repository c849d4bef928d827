/// What the programs that test a deployment of real processes share.
#pragma once

#include "core/daemon_context.h"
#include "core/event_log.h"
#include "tests/soak/deployment.h"

#include <CLI/CLI.hpp>
#include <functional>
#include <string>

namespace teasellock::soak {

/// Declares the flags for the program under test, the folder and the network.
void declareDeploymentFlags(CLI::App &App, deployment_options &Options);

/// Runs a test on an event loop of its own, with the event log of this process.
/// Run returns the exit code. Returns 1 if it throws an exception.
int runTest(const std::string &ProgramName, severity LogLevel,
            const deployment_options &Options,
            const std::function<int(daemon_context &)> &Run);

} // namespace teasellock::soak
