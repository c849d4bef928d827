/// The commands of the command line tool. Each prints to standard output and
/// returns the exit code. They throw error when no VM responds or a file can't
/// be read or written.
#pragma once

#include "ctl/api_client.h"

#include <string>

namespace teasellock {

/// Exit codes of the tool, which scripts rely on.
enum exit_code {
  Succeeded = 0,
  /// The call failed or no VM responded.
  Failed = 1,
  /// Invalid arguments or an invalid table file.
  BadInput = 2,
  /// The table has been edited since the base version; fetch it again.
  Conflict = 3,
  /// The tables differ, or not all VMs have applied the table.
  Different = 4,
};

/// Exit codes of the check of a configuration.
enum check_exit_code {
  NothingFound = 0,
  OnlyWarnings = 1,
  ErrorsFound = 2,
  /// The file can't be read, the arguments are invalid, or the deployment in
  /// force is not known.
  NotChecked = 3,
};

/// The API client and the output format of a command.
struct command_context {
  api_client Client;
  bool Json = false;
};

/// Writes the current table as CSV, or as JSON with Json, to OutFile; to
/// standard output if OutFile is empty.
int tableGet(command_context &Context, const std::string &OutFile);

/// Validates a CSV file and prints all problems. File "-" is standard input.
int tableCheck(const std::string &File);

/// Prints the changes that applying a CSV file would make.
int tableDiff(command_context &Context, const std::string &File);

/// Replaces the table by a CSV file. BaseVersion is the version that the file
/// is based on; 0 means the current version. If EditId is empty, a random one
/// is used. It is printed if the edit fails, so that the edit can be retried.
int tableApply(command_context &Context, const std::string &File,
               std::uint64_t BaseVersion, std::string EditId);

/// Prints which VMs have applied the current table.
int tableStatus(command_context &Context);

/// Checks a configuration in the platform's JSON format and prints the findings
/// and, if AgainstCurrent, the differences from the deployment in force. File
/// "-" is standard input. Returns a check_exit_code and throws no error.
int checkConfiguration(command_context &Context, const std::string &File,
                       bool AgainstCurrent);

/// Fetches Path and prints the objects of its field List, one per line, with
/// the given fields as columns.
int showList(command_context &Context, const std::string &Path,
             const std::string &List, const std::vector<std::string> &Fields);

/// Makes a call and prints the JSON of the response.
int callAndPrint(command_context &Context, const std::string &Method,
                 const std::string &Path, const nlohmann::json &Body);

/// Replaces a member of the control group: requests steps of the replacement
/// until it is complete and prints each.
int replaceMember(command_context &Context, const std::string &OldStore,
                  const nlohmann::json &NewMember);

/// Makes the called VM the only member of the control group.
int forceMember(command_context &Context);

/// Prints the spans of one trace, read from the trace files of the daemons.
int showTrace(const std::string &TraceId,
              const std::vector<std::string> &Files);

} // namespace teasellock
