/// What each command of the tool does. All print to standard output and return
/// the exit code.
#pragma once

#include "ctl/api_client.h"

#include <string>

namespace teasellock {

/// Exit codes of the tool, for scripts.
enum exit_code {
  Succeeded = 0,
  /// The call failed or no VM answered.
  Failed = 1,
  /// Bad arguments or a bad table file.
  BadInput = 2,
  /// Another edit came first; fetch the table again.
  Conflict = 3,
  /// The tables differ, or not all VMs have applied the table.
  Different = 4,
};

/// Where to call and how to print.
struct command_context {
  api_client Client;
  bool Json = false;
};

int tableGet(command_context &Context, const std::string &OutFile);
int tableCheck(const std::string &File);
int tableDiff(command_context &Context, const std::string &File);
/// BaseVersion 0: the version found when the command starts. An empty EditId
/// gets a random one, printed so that the edit can be sent again.
int tableApply(command_context &Context, const std::string &File,
               std::uint64_t BaseVersion, std::string EditId);
int tableStatus(command_context &Context);

/// Prints the rows of a list found at Path, one line each, with the named
/// fields as columns.
int showList(command_context &Context, const std::string &Path,
             const std::string &List, const std::vector<std::string> &Fields);

/// Makes a call and prints its JSON.
int showCall(command_context &Context, const std::string &Method,
             const std::string &Path, const nlohmann::json &Body);

/// Asks for the next step of a replacement until it is done, printing each.
int replaceMember(command_context &Context, const std::string &OldStore,
                  const nlohmann::json &NewMember);

/// Makes the VM that is called the only member of the control group.
int forceMember(command_context &Context);

/// Prints the hops of one trace, found in the files that daemons write.
int showTrace(const std::string &TraceId,
              const std::vector<std::string> &Files);

} // namespace teasellock
