/// Checks the guarantees of organisations and keys from the events that callers
/// and upstreams observe. Independent of sockets and processes.
#pragma once

#include "tests/soak/oracle.h"
#include "tests/soak/organisations.h"

namespace teasellock::soak {

/// A caller's statement: where and with which key it was sent.
struct caller_request {
  std::string Key;
  /// Whether the statement's route needs no key.
  bool IsPublic = false;
};

/// Records the versions of the organisations' keys and the statements of a run,
/// and reports violated guarantees to the general oracle.
class organisation_oracle {
public:
  explicit organisation_oracle(oracle &Violations) : Violations(Violations) {}

  /// Records a version of the deployment when it is sent for the first time.
  void recordVersion(const key_holders &Holders) {
    Versions.push_back(Holders);
  }

  /// Records a statement that a caller sends.
  void recordSent(const std::string &Id, const caller_request &Request) {
    Requests[Id] = Request;
  }

  /// Checks a statement that an upstream executes on a connection that was
  /// opened with this name: the name is that of the organisation that holds the
  /// caller's key. Without an organisation it is the gateways' fixed name, on a
  /// public route only.
  void checkExecution(const std::string &Id, const std::string &Name);

  /// Checks a text that callers, upstreams or logs received: it contains no
  /// key.
  void checkText(const std::string &Text, const std::string &Where);

  /// Number of executed statements by the name of their connection.
  const std::map<std::string, std::uint64_t> &executions() const {
    return Executions;
  }

private:
  std::set<std::string> possibleNames(const caller_request &Request) const;

  oracle &Violations;
  std::vector<key_holders> Versions;
  std::map<std::string, caller_request> Requests;
  std::map<std::string, std::uint64_t> Executions;
};

/// Checks that no log in the folder contains a key.
void checkLogs(organisation_oracle &Oracle, const std::string &Folder);

} // namespace teasellock::soak
