#include "tests/stand_in/server.h"

#include <doctest/doctest.h>
#include <libpq-fe.h>
#include <thread>

using namespace teasellock;
using namespace teasellock::stand_in;

namespace {

/// A stand-in server on its own thread, so that tests can use blocking libpq
/// calls.
class server_thread {
public:
  explicit server_thread(const std::string &Name,
                         std::optional<endpoint> Follow = std::nullopt,
                         int Connections = 25) {
    server_options Options;
    Options.Group = group_id("g");
    Options.Name = upstream_id(Name);
    Options.Listen = {"127.0.0.1", 0};
    Options.Connections = Connections;
    Options.FollowPrimary = std::move(Follow);
    Server.emplace(Loop, Timers, Options);
    Address = Server->listenEndpoint();
    Thread = std::thread([this] { Loop.run(); });
  }

  ~server_thread() {
    Loop.postFromThread([this] {
      Server.reset();
      Loop.stop();
    });
    Thread.join();
  }

  endpoint Address;

private:
  event_loop Loop;
  timer_service Timers{Loop};
  std::optional<server> Server;
  std::thread Thread;
};

/// A blocking libpq connection.
class client {
public:
  explicit client(const endpoint &Address, const std::string &Name = "test")
      : Handle(PQconnectdb(("host=" + Address.Address +
                            " port=" + std::to_string(Address.Port) +
                            " user=u dbname=g connect_timeout=5 "
                            "application_name=" +
                            Name)
                               .c_str())) {}
  ~client() { PQfinish(Handle); }
  client(const client &) = delete;

  /// Returns the first field of a query's result, or the SQLSTATE of its error.
  std::string query(const std::string &Sql) {
    PGresult *Result = PQexec(Handle, Sql.c_str());
    std::string Text = describe(Result);
    PQclear(Result);
    return Text;
  }

  static std::string describe(const PGresult *Result) {
    if (const char *State = PQresultErrorField(Result, PG_DIAG_SQLSTATE))
      return State;
    if (PQresultStatus(Result) == PGRES_TUPLES_OK)
      return PQntuples(Result) > 0 ? PQgetvalue(Result, 0, 0) : "none";
    return PQcmdStatus(const_cast<PGresult *>(Result));
  }

  PGconn *Handle;
};

/// Repeats a query every 10 ms, at most 1000 times, until it returns the
/// expected value.
bool eventually(client &Client, const std::string &Sql,
                const std::string &Wanted) {
  for (int Left = 1000; Left > 0; --Left) {
    if (Client.query(Sql) == Wanted)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

std::string followSql(const endpoint &Primary, const std::string &Name) {
  return "ALTER SYSTEM SET primary_conninfo = 'host=" + Primary.Address +
         " port=" + std::to_string(Primary.Port) + " application_name=" + Name +
         "'";
}

} // namespace

TEST_CASE("stand-in: pipelined statements with parameters") {
  server_thread Server("a");
  client Client(Server.Address);
  REQUIRE(PQenterPipelineMode(Client.Handle) == 1);
  const char *Values[] = {"x", "7"};
  PQsendQueryParams(Client.Handle, "INSERT INTO stock VALUES ($1, $2)", 2,
                    nullptr, Values, nullptr, nullptr, 0);
  PQsendQueryParams(Client.Handle, "SELECT amount FROM stock WHERE item = $1",
                    1, nullptr, Values, nullptr, nullptr, 1);
  PQpipelineSync(Client.Handle);
  PGresult *Inserted = PQgetResult(Client.Handle);
  CHECK(client::describe(Inserted) == "INSERT 0 1");
  PQclear(Inserted);
  CHECK(PQgetResult(Client.Handle) == nullptr);
  PGresult *Selected = PQgetResult(Client.Handle);
  REQUIRE(PQresultStatus(Selected) == PGRES_TUPLES_OK);
  CHECK(PQgetlength(Selected, 0, 0) == 8);
  CHECK(PQgetvalue(Selected, 0, 0)[7] == 7);
  PQclear(Selected);
  CHECK(PQgetResult(Client.Handle) == nullptr);
  PGresult *Synced = PQgetResult(Client.Handle);
  CHECK(PQresultStatus(Synced) == PGRES_PIPELINE_SYNC);
  PQclear(Synced);
  PQexitPipelineMode(Client.Handle);
}

TEST_CASE("stand-in: prepared statements are described") {
  server_thread Server("a");
  client Client(Server.Address);
  PQclear(PQprepare(Client.Handle, "s",
                    "SELECT item, amount FROM stock WHERE amount > $1", 0,
                    nullptr));
  PGresult *Described = PQdescribePrepared(Client.Handle, "s");
  CHECK(PQnparams(Described) == 1);
  CHECK(PQparamtype(Described, 0) == 20);
  CHECK(PQnfields(Described) == 2);
  CHECK(PQftype(Described, 0) == 25);
  CHECK(PQftype(Described, 1) == 20);
  PQclear(Described);
}

TEST_CASE("stand-in: transactions fail, end and are isolated") {
  server_thread Server("a");
  client First(Server.Address), Second(Server.Address);
  First.query("BEGIN");
  First.query("INSERT INTO stock VALUES ('x', 1)");
  CHECK(Second.query("SELECT count(*) FROM stock") == "0");
  CHECK(First.query("SELECT count(*) FROM stock") == "1");
  CHECK(First.query("SELECT broken") == "42703");
  CHECK(First.query("SELECT 1") == "25P02");
  CHECK(First.query("COMMIT") == "ROLLBACK");
  CHECK(First.query("SELECT count(*) FROM stock") == "0");
  CHECK(Second.query("INSERT INTO stock VALUES ('y', 1); SELECT broken") ==
        "42703");
  CHECK(Second.query("SELECT count(*) FROM stock") == "0");
}

TEST_CASE("stand-in: a deadlock aborts one transaction") {
  server_thread Server("a");
  client First(Server.Address), Second(Server.Address);
  First.query("INSERT INTO stock VALUES ('x', 1), ('y', 1)");
  First.query("BEGIN");
  Second.query("BEGIN");
  First.query("UPDATE stock SET amount = 2 WHERE item = 'x'");
  Second.query("UPDATE stock SET amount = 3 WHERE item = 'y'");
  PQsendQuery(First.Handle, "UPDATE stock SET amount = 2 WHERE item = 'y'");
  std::string SecondEnd =
      Second.query("UPDATE stock SET amount = 3 WHERE item = 'x'");
  if (SecondEnd == "40P01")
    Second.query("ROLLBACK");
  PGresult *Result = PQgetResult(First.Handle);
  std::string FirstEnd = client::describe(Result);
  PQclear(Result);
  CHECK((SecondEnd == "40P01") != (FirstEnd == "40P01"));
}

TEST_CASE("stand-in: a sleeping statement is cancelled") {
  server_thread Server("a");
  client Client(Server.Address), Other(Server.Address);
  PQsendQuery(Client.Handle, "SELECT pg_sleep(60)");
  CHECK(eventually(Other,
                   "SELECT count(*) FROM pg_stat_activity WHERE state = "
                   "'active'",
                   "2"));
  PGcancel *Cancel = PQgetCancel(Client.Handle);
  char Reason[256];
  CHECK(PQcancel(Cancel, Reason, sizeof(Reason)) == 1);
  PQfreeCancel(Cancel);
  PGresult *Result = PQgetResult(Client.Handle);
  CHECK(client::describe(Result) == "57014");
  PQclear(Result);
}

TEST_CASE("stand-in: connections beyond the limit are refused") {
  server_thread Server("a", std::nullopt, 1);
  client First(Server.Address), Second(Server.Address);
  CHECK(First.query("SELECT 1") == "1");
  CHECK(PQstatus(Second.Handle) == CONNECTION_BAD);
}

TEST_CASE(
    "stand-in: a deposed primary truncates its log and becomes a replica") {
  server_thread Old("a");
  server_thread New("b", Old.Address);
  client OldClient(Old.Address), NewClient(New.Address);
  CHECK(OldClient.query("INSERT INTO stock VALUES ('kept', 1)") ==
        "INSERT 0 1");
  CHECK(eventually(NewClient, "SELECT count(*) FROM stock", "1"));
  CHECK(NewClient.query("INSERT INTO stock VALUES ('z', 1)") == "25006");
  CHECK(NewClient.query("SELECT pg_promote(true, 5)") == "t");
  CHECK(NewClient.query("SELECT pg_promote(true, 5)") == "55000");
  CHECK(NewClient.query("UPDATE teasellock_term SET term = 2") == "UPDATE 1");
  CHECK(OldClient.query("INSERT INTO stock VALUES ('lost', 1)") ==
        "INSERT 0 1");
  CHECK(OldClient.query(followSql(New.Address, "a")) == "ALTER SYSTEM");
  CHECK(OldClient.query("SELECT pg_reload_conf()") == "t");
  CHECK(eventually(OldClient, "SELECT term FROM teasellock_term", "2"));
  CHECK(OldClient.query("SELECT item FROM stock") == "kept");
  CHECK(eventually(NewClient,
                   "SELECT count(*) FROM pg_stat_replication WHERE "
                   "application_name = 'a' AND flush_lsn = "
                   "pg_current_wal_flush_lsn()",
                   "1"));
}

TEST_CASE("stand-in: commands cut replication, silence connections and lose "
          "records") {
  server_thread Primary("a");
  server_thread Replica("b", Primary.Address);
  client Client(Primary.Address), OnReplica(Replica.Address);
  Client.query("INSERT INTO stock VALUES ('x', 1)");
  CHECK(eventually(OnReplica, "SELECT count(*) FROM stock", "1"));
  const char *Streams = "SELECT count(*) FROM pg_stat_replication";
  CHECK(Client.query("SELECT stand_in('cut b')") == "ok");
  CHECK(eventually(Client, Streams, "0"));
  Client.query("INSERT INTO stock VALUES ('y', 1)");
  CHECK(OnReplica.query("SELECT stand_in('lose_tail 1')") == "ok");
  CHECK(OnReplica.query("SELECT count(*) FROM stock") == "0");
  CHECK(Client.query("SELECT stand_in('heal')") == "ok");
  CHECK(eventually(OnReplica, "SELECT count(*) FROM stock", "2"));
  CHECK(Client.query("SELECT stand_in('nonsense')") == "22023");
  CHECK(Client.query("SELECT stand_in('silence')") == "ok");
  client Fresh(Primary.Address);
  CHECK(Fresh.query("SELECT count(*) FROM stock") == "2");
  CHECK(Fresh.query("INSERT INTO stock VALUES ('w', 1)") == "INSERT 0 1");
  CHECK(eventually(OnReplica, "SELECT count(*) FROM stock", "3"));
}
