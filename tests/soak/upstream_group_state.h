/// The inside of a stand-in group, shared by its sources.
#pragma once

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
  std::vector<server> Servers;
  std::uint64_t Signatures = 0;
  std::uint64_t Promotions = 0;
  term NewestTerm{1};
  timer_subscription Replication;
  std::vector<timer_subscription> PendingPromotions;

  state(event_loop &Loop, timer_service &Timers, oracle &Oracle,
        group_settings Settings);

  server *leader();
  void listen(std::size_t Index);
  void accept(std::size_t Index);
  void endSessions(server &Server);
  void take(std::size_t Index, const session_pointer &Session);
  void takeLine(std::size_t Index, const session_pointer &Session,
                const std::string &Line);
  void start(std::size_t Index, upstream_session &Session,
             const std::string &Line);
  void query(std::size_t Index, const session_pointer &Session,
             const upstream_statement &Statement);
  void execute(std::size_t Index, const session_pointer &Session,
               const upstream_statement &Statement);
  bool executeOwn(server &Server, upstream_session &Session,
                  const upstream_statement &Statement);
  void begin(server &Server, upstream_session &Session,
             const upstream_statement &Statement);
  void commit(server &Server, upstream_session &Session,
              const upstream_statement &Statement);
  void runData(server &Server, upstream_session &Session,
               const upstream_statement &Statement);
  void append(server &Server, upstream_session &Session,
              const open_transaction &Transaction, signed_answer Answer);
  void finish(server &Server, upstream_session &Session);
  void answer(server &Server, upstream_session &Session,
              const signed_answer &Answer);
  void refuse(server &Server, upstream_session &Session, const char *Code);
  signed_answer sign(const std::string &Id, std::vector<std::string> Rows);
  std::string status(const server &Server) const;
  bool mayLead(const server &Server, const upstream_session &Session) const;

  void replicate();
  void receive(server &Replica, const server &Primary);
  void confirm(server &Primary);
  void lead(std::size_t Index);
};

} // namespace teasellock::soak
