/// Private state of upstream_group, shared by its sources.
#pragma once

#include <map>
#include <set>

#include "tests/soak/upstream_group.h"
#include "tests/soak/upstream_session.h"

namespace teasellock::soak {

using session_pointer = std::shared_ptr<upstream_session>;

struct upstream_group::state {
  struct server {
    upstream_node Node;
    endpoint Address;
    int Listener = -1;
    descriptor_watch Watch;
    std::vector<session_pointer> Sessions;
  };

  event_loop &Loop;
  timer_service &Timers;
  oracle &Oracle;
  group_settings Settings;
  /// May be empty; see selectFaults().
  std::function<statement_fault(const std::string &Verb)> SelectFault;
  std::vector<server> Servers;
  std::uint64_t LastSignature = 0;
  std::uint64_t Promotions = 0;
  std::uint64_t UnknownNames = 0;
  std::map<std::string, std::set<std::string>> UsersOfStatements;
  std::map<std::string, std::uint64_t> SessionsOfUsers;
  term NewestTerm{1};
  timer_subscription ReplicationTimer;
  std::vector<timer_subscription> PendingPromotions;

  state(event_loop &Loop, timer_service &Timers, oracle &Oracle,
        group_settings Settings);

  server *primaryServer();
  void listen(std::size_t Index);
  void accept(std::size_t Index);
  void endSessions(server &Server);
  void processInput(std::size_t Index, const session_pointer &Session);
  void handleLine(std::size_t Index, const session_pointer &Session,
                  const std::string &Line);
  void handleStart(std::size_t Index, upstream_session &Session,
                   const std::string &Line);
  void queueStatement(std::size_t Index, const session_pointer &Session,
                      const upstream_statement &Statement);
  bool injectFault(std::size_t Index, const session_pointer &Session,
                   const upstream_statement &Statement);
  void execute(std::size_t Index, const session_pointer &Session,
               const upstream_statement &Statement);
  bool executeImmediately(server &Server, upstream_session &Session,
                          const upstream_statement &Statement);
  void executeBegin(server &Server, upstream_session &Session,
                    const upstream_statement &Statement);
  void executeCommit(server &Server, upstream_session &Session,
                     const upstream_statement &Statement);
  void executeDataStatement(server &Server, upstream_session &Session,
                            const upstream_statement &Statement);
  void appendCommit(server &Server, upstream_session &Session,
                    const open_transaction &Transaction, signed_result Result);
  void sendReady(server &Server, upstream_session &Session);
  void sendResult(server &Server, upstream_session &Session,
                  const signed_result &Result);
  void sendError(server &Server, upstream_session &Session, const char *Code);
  signed_result sign(const std::string &Id, std::vector<std::string> Rows);
  std::string status(const server &Server) const;
  bool isTransactionAllowed(const server &Server,
                            const upstream_session &Session) const;

  void replicate();
  void copyLog(server &Replica, const server &Primary);
  void completeCommits(server &Primary);
  void endLeadership(server &Server);
  void demote(server &Server, term Term);
  void becomePrimary(std::size_t Index);
};

} // namespace teasellock::soak
