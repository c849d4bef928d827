/// Checks the guarantees of organisations and keys from the events that callers
/// and upstreams observe. Independent of sockets and processes.
#pragma once

#include "tests/soak/oracle.h"
#include "tests/soak/organisations.h"

#include <deque>
#include <optional>

namespace teasellock::soak {

/// A message of a caller: where, when and with which key it was sent.
struct caller_request {
  std::string Key;
  /// Index of the entry VM.
  std::size_t Entry = 0;
  /// Whether the message's route needs no key.
  bool IsPublic = false;
  time_point Sent;
  /// When the first read or write of the operation was sent. A transaction
  /// keeps its organisation when its key is moved.
  time_point OperationSent;
  /// Id of that first read or write.
  std::string Operation;
};

/// The operations of one organisation that upstreams have executed.
struct executed_operations {
  std::uint64_t Statements = 0;
  std::set<std::string> Operations;
  /// When the operations of the last window were first executed.
  std::deque<time_point> Recent;
  /// The highest number in a window so far, and the highest allowed one; zero
  /// for a name without a limit.
  std::size_t Peak = 0;
  double Bound = 0;
};

/// Records the versions of the organisations' keys and the statements of a run,
/// and reports violated guarantees to the general oracle.
class organisation_oracle {
public:
  organisation_oracle(oracle &Violations,
                      const std::vector<organisation_plan> &Organisations);

  /// Records a version of the deployment when it is sent for the first time,
  /// and when control acknowledges it.
  void recordVersion(std::uint64_t Version, const key_holders &Holders,
                     time_point Now);
  void recordAcknowledgement(std::uint64_t Version, time_point Now);

  /// Records a time in which control may not reach an entry VM; without an
  /// entry: any entry VM.
  void recordDisturbance(std::optional<std::size_t> Entry, time_point Begin,
                         time_point End);

  /// Records a statement that a caller sends.
  void recordSent(const std::string &Id, const caller_request &Request) {
    Requests[Id] = Request;
  }

  /// Checks a statement that an upstream executes on a connection that was
  /// opened with this name: the name is that of the organisation that holds the
  /// caller's key. Without an organisation it is the gateways' fixed name, on a
  /// public route only. The operations of all organisations stay inside their
  /// limits.
  void checkExecution(const std::string &Id, const std::string &Name,
                      time_point Now);

  /// Checks whether an entry may have admitted the caller of a message, or
  /// refused it because of its key.
  void checkAnswer(const caller_request &Request, bool IsAdmitted,
                   time_point Now);

  /// Checks a text that callers, upstreams or logs received: it contains no
  /// key.
  void checkText(const std::string &Text, const std::string &Where);

  /// What was executed, by the name of the connection.
  const std::map<std::string, executed_operations> &executions() const {
    return Executions;
  }
  /// Numbers of answers that were the only allowed ones after a change of their
  /// key: refusals of removed keys, and admissions of added or moved ones.
  std::uint64_t judgedRefusals() const { return JudgedRefusals; }
  std::uint64_t judgedAdmissions() const { return JudgedAdmissions; }

private:
  struct version_record {
    std::uint64_t Version = 0;
    key_holders Holders;
    time_point SentAt;
    std::optional<time_point> AcknowledgedAt;
  };

  struct disturbance {
    std::optional<std::size_t> Entry;
    time_point Begin;
    time_point End;
  };

  bool isReached(std::size_t Entry, time_point Now) const;
  std::set<std::string> possibleNames(const caller_request &Request,
                                      time_point From, time_point Now) const;
  void countOperation(const std::string &Operation, const std::string &Name,
                      time_point Now);
  bool hasChanged(const std::string &Key) const;

  oracle &Violations;
  std::vector<version_record> Versions;
  std::vector<disturbance> Disturbances;
  std::map<std::string, caller_request> Requests;
  std::map<std::string, executed_operations> Executions;
  std::uint64_t JudgedRefusals = 0;
  std::uint64_t JudgedAdmissions = 0;
};

/// Checks that no log in the folder contains a key.
void checkLogs(organisation_oracle &Oracle, const std::string &Folder);

} // namespace teasellock::soak
