/// The execution of operations on a connection that is open: what is sent, and
/// what becomes of each result.
#pragma once

#include "modules/upstream/message_encoder.h"
#include "modules/upstream/statement_cache.h"
#include "modules/upstream/upstream_connection.h"

#include <libpq-fe.h>
#include <string>
#include <vector>

namespace teasellock {

/// What the owner of the connection does after a part of an execution.
enum class execution_step {
  /// Waits for the next result.
  Continue,
  /// Writes what was queued, then waits for the next result.
  Flush,
  /// Finishes: all operations are done, or one failed.
  Finish,
  /// Finishes: the connection is lost.
  ConnectionLost,
};

/// Executes one list of operations at a time and keeps the statements that are
/// prepared on the connection. Neither waits nor closes the connection.
class operation_execution {
public:
  operation_execution();

  /// Begins to execute operations and queues the first ones.
  execution_step begin(PGconn *Connection,
                       std::vector<upstream_operation> NewOperations,
                       std::function<void(std::string)> OnPart,
                       bool CollectsRows);

  /// Handles one result.
  execution_step handleResult(PGresult *Next);

  /// Handles the end of the results of one message exchange, and queues the
  /// next one.
  execution_step handleEndOfResults(PGconn *Connection);

  /// Handles a notice that arrived during the execution.
  void handleNotice(const PGresult *Notice);

  /// Ends the execution and returns its result. The connection is lost if there
  /// is a problem.
  execution_result finish(const PGconn *Connection,
                          std::optional<std::string> ConnectionProblem);

  /// Reports whether the connection can't be used after the execution.
  bool mustClose() const { return MustClose; }

private:
  /// One message exchange of an operation.
  enum class phase_kind {
    Query,
    Prepare,
    Execute,
    ExecuteUnprepared,
    Describe,
    Deallocate,
  };
  struct phase {
    phase_kind Kind;
    std::size_t Operation;
    std::string Name;
  };

  bool isHidden() const;
  void buildPhases(const PGconn *Connection);
  void addPrepared(std::size_t Index);
  bool send(PGconn *Connection);
  bool sendPhase(PGconn *Connection, const phase &Phase);
  execution_step handleError(const PGresult *Next);
  void handleSuccess(PGresult *Next);
  execution_step refuseCopy();
  void collect(const PGresult *Next);
  void encode(const PGresult *Next, ExecStatusType Status,
              const wire::statement_step &Step);
  void countCommand(PGresult *Next, bool Hidden);
  void removePreparation();
  void removeUnsentPreparations();
  void evictStatements();

  statement_cache Prepared;
  /// Names of statements evicted from the cache and not yet deallocated.
  std::vector<std::string> EvictedStatements;
  bool MustClose = false;

  // The current execution.
  std::vector<upstream_operation> Operations;
  std::vector<phase> Phases;
  std::size_t CurrentPhase = 0;
  bool Pipelined = false;
  bool DescribedRows = false;
  bool Collect = false;
  execution_result Result;
  message_encoder Encoder;
};

} // namespace teasellock
