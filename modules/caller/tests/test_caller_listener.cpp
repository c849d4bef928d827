#include "modules/caller/caller_listener.h"

#include "modules/caller/wire_format.h"

#include <deque>
#include <doctest/doctest.h>
#include <libpq-fe.h>
#include <poll.h>

using namespace teasellock;

namespace {

constexpr int MaxLoopIterations = 5000;

/// A fake of the router, gateways and upstreams that answers each step with
/// resultOf().
struct fake_router {
  struct pending_request {
    request_id Id;
    wire::statement_request Request;
    std::function<void(wire::statement_reply)> Reply;
  };

  explicit fake_router(event_loop &Loop) : Loop(Loop) {}

  event_loop &Loop;
  bool HoldReplies = false;
  std::uint64_t LastRequest = 0;
  std::uint64_t LastTransaction = 0;
  std::deque<pending_request> PendingRequests;
  std::vector<wire::statement_request> ReceivedRequests;
  std::vector<transaction_id> ReleasedTransactions;
  std::vector<request_id> CancelledRequests;
  char TransactionStatus = 'I';
  std::uint64_t PrimaryOffset = 100;

  static std::string rowsOf(const wire::statement_step &Step) {
    std::string Out;
    if (Step.kind == wire::step_kind::describe) {
      pg::message_writer('t').int16(0).append(Out);
      pg::appendTextColumn(Out, "v");
      return Out;
    }
    if (Step.kind == wire::step_kind::simple || Step.describe_rows)
      pg::appendTextColumn(Out, "v");
    pg::appendTextRow(Out, Step.parameters.empty() ? Step.sql
                                                   : Step.parameters[0].value);
    pg::appendCommandComplete(Out, "SELECT 1");
    return Out;
  }

  std::string resultOf(const wire::statement_step &Step) {
    std::string Out;
    if (Step.sql == "BEGIN" || Step.sql == "COMMIT" || Step.sql == "ROLLBACK") {
      TransactionStatus = Step.sql == "BEGIN" ? 'T' : 'I';
      pg::appendCommandComplete(Out, Step.sql);
    } else if (Step.sql.find("fail") != std::string::npos) {
      pg::appendError(Out, "ERROR", "42P01", "no such table");
      TransactionStatus = TransactionStatus == 'I' ? 'I' : 'E';
    } else {
      Out = rowsOf(Step);
    }
    return Out;
  }

  wire::statement_reply replyTo(const wire::statement_request &Request) {
    wire::statement_reply Reply;
    Reply.outcome = wire::statement_outcome::answered;
    Reply.last = true;
    for (const auto &Step : Request.steps)
      Reply.messages += resultOf(Step);
    Reply.transaction_status = static_cast<std::int8_t>(TransactionStatus);
    Reply.reached.term = 1;
    if (Request.access == wire::statement_access::write)
      ++PrimaryOffset;
    Reply.reached.offset = static_cast<std::int64_t>(PrimaryOffset);
    return Reply;
  }

  router_callbacks callbacks() {
    router_callbacks Callbacks;
    Callbacks.IsGroupServed = [](const group_id &Group) {
      return Group.Value == "despacho";
    };
    Callbacks.Submit =
        [this](wire::statement_request Request, const std::string &,
               std::function<void(wire::statement_reply)> Reply) {
          ReceivedRequests.push_back(Request);
          PendingRequests.push_back(
              {request_id(++LastRequest), Request, std::move(Reply)});
          if (!HoldReplies)
            Loop.post([this] { replyToNext(); });
          return request_id(LastRequest);
        };
    Callbacks.Cancel = [this](request_id Id) {
      CancelledRequests.push_back(Id);
    };
    Callbacks.WasSent = [](request_id) { return true; };
    Callbacks.NextTransaction = [this] {
      return transaction_id(++LastTransaction);
    };
    Callbacks.ReleaseTransaction = [this](transaction_id Id) {
      ReleasedTransactions.push_back(Id);
    };
    return Callbacks;
  }

  void replyToNext() {
    auto Next = std::move(PendingRequests.front());
    PendingRequests.pop_front();
    Next.Reply(replyTo(Next.Request));
  }
};

struct test_entry {
  event_loop Loop;
  timer_service Timers{Loop};
  metrics Metrics;
  tracer Tracer;
  daemon_context Context{
      Loop, Timers, Metrics, Tracer,
      vm_identity{vm_id("vm"), incarnation(1), {}, {}, endpoint{}}};
  fake_router Router = fake_router(Loop);
  std::unique_ptr<caller_listener> Listener;
  endpoint Address;

  test_entry() {
    caller_settings Settings;
    Settings.Listen = {"127.0.0.1", 0};
    Settings.TokenSecret = "secret";
    Listener = std::make_unique<caller_listener>(Context, Router.callbacks(),
                                                 Settings);
    Address = Listener->start();
    // Wakes the loop up regularly while the test waits for libpq.
    WakeUpTimer = Timers.every(fromMilliseconds(1), [] {});
  }

  timer_subscription WakeUpTimer;

  std::string conninfo(const std::string &More = "") const {
    return "host=127.0.0.1 port=" + std::to_string(Address.Port) +
           " user=u dbname=despacho " + More;
  }

  template <typename Condition> bool runUntil(Condition Done) {
    for (int Iteration = 0; Iteration < MaxLoopIterations && !Done();
         ++Iteration)
      Loop.runOnce();
    return Done();
  }
};

/// A non-blocking libpq connection on the entry's thread.
struct client {
  test_entry &Entry;
  PGconn *Conn;

  client(test_entry &Entry, const std::string &Info)
      : Entry(Entry), Conn(PQconnectStart(Info.c_str())) {
    auto State = PGRES_POLLING_WRITING;
    Entry.runUntil([&] {
      pollfd Poll = {
          PQsocket(Conn),
          static_cast<short>(State == PGRES_POLLING_READING ? POLLIN : POLLOUT),
          0};
      if (::poll(&Poll, 1, 0) > 0)
        State = PQconnectPoll(Conn);
      return State == PGRES_POLLING_OK || State == PGRES_POLLING_FAILED;
    });
  }
  ~client() { PQfinish(Conn); }

  bool connected() const { return PQstatus(Conn) == CONNECTION_OK; }

  /// Returns the results, joined by spaces: of each the SQLSTATE after "!", the
  /// first value or the command tag.
  std::string results() {
    std::string Text;
    for (;;) {
      REQUIRE(Entry.runUntil([&] {
        PQconsumeInput(Conn);
        return !PQisBusy(Conn) || PQstatus(Conn) == CONNECTION_BAD;
      }));
      PGresult *Result = PQgetResult(Conn);
      if (!Result)
        return Text;
      const char *State = PQresultErrorField(Result, PG_DIAG_SQLSTATE);
      if (!Text.empty())
        Text += " ";
      Text += State                   ? std::string("!") + State
              : PQntuples(Result) > 0 ? PQgetvalue(Result, 0, 0)
                                      : PQcmdStatus(Result);
      PQclear(Result);
    }
  }

  std::string query(const std::string &Sql) {
    REQUIRE(PQsendQuery(Conn, Sql.c_str()) == 1);
    return results();
  }

  std::string queryWith(const std::string &Sql, const char *Value) {
    REQUIRE(PQsendQueryParams(Conn, Sql.c_str(), 1, nullptr, &Value, nullptr,
                              nullptr, 0) == 1);
    return results();
  }

  std::string token() const {
    return PQparameterStatus(Conn, "teasellock.session");
  }
};

} // namespace

TEST_CASE("caller: libpq runs simple and extended queries") {
  test_entry Entry;
  client Client(Entry, Entry.conninfo());
  REQUIRE(Client.connected());
  CHECK(Client.query("SELECT 1") == "SELECT 1");
  CHECK(Entry.Router.ReceivedRequests.back().access ==
        wire::statement_access::read);
  CHECK_FALSE(Entry.Router.ReceivedRequests.back().floor_known);
  CHECK(Client.queryWith("SELECT $1", "x") == "x");
  CHECK(Entry.Router.ReceivedRequests.back().floor_known);
  CHECK(Client.query("") == "");
  CHECK(Client.query("SELECT fail") == "!42P01");
  CHECK(Client.query("COPY t FROM STDIN") == "!0A000");
  CHECK(Client.query("INSERT INTO t VALUES (1)").substr(0, 6) == "INSERT");
  CHECK(Entry.Router.ReceivedRequests.back().access ==
        wire::statement_access::write);
  REQUIRE(PQsendPrepare(Client.Conn, "p", "SELECT $1", 0, nullptr) == 1);
  CHECK(Client.results() == "");
  const char *Value = "y";
  REQUIRE(PQsendQueryPrepared(Client.Conn, "p", 1, &Value, nullptr, nullptr,
                              0) == 1);
  CHECK(Client.results() == "y");
  REQUIRE(PQsendDescribePrepared(Client.Conn, "p") == 1);
  CHECK(Client.results() == "");
  REQUIRE(PQsendQueryPrepared(Client.Conn, "q", 1, &Value, nullptr, nullptr,
                              0) == 1);
  CHECK(Client.results() == "!26000");
  CHECK(Client.query("SELECT 2") == "SELECT 2");
}

TEST_CASE("caller: an unknown group is refused with an error that contains its "
          "name") {
  test_entry Entry;
  client Client(Entry, "host=127.0.0.1 user=u dbname=nowhere port=" +
                           std::to_string(Entry.Address.Port));
  CHECK_FALSE(Client.connected());
  CHECK(std::string(PQerrorMessage(Client.Conn)).find("\"nowhere\"") !=
        std::string::npos);
}

TEST_CASE(
    "caller: a transaction keeps its number and is released on disconnect") {
  test_entry Entry;
  auto &ReceivedRequests = Entry.Router.ReceivedRequests;
  {
    client Client(Entry, Entry.conninfo());
    CHECK(Client.query("BEGIN") == "BEGIN");
    CHECK(ReceivedRequests.back().opens_transaction);
    auto Transaction = ReceivedRequests.back().transaction;
    CHECK(PQtransactionStatus(Client.Conn) == PQTRANS_INTRANS);
    CHECK(Client.queryWith("SELECT $1", "a") == "a");
    CHECK(ReceivedRequests.back().transaction == Transaction);
    CHECK_FALSE(ReceivedRequests.back().opens_transaction);
    CHECK(Client.query("SELECT fail") == "!42P01");
    CHECK(PQtransactionStatus(Client.Conn) == PQTRANS_INERROR);
    CHECK(Client.query("ROLLBACK") == "ROLLBACK");
    CHECK(PQtransactionStatus(Client.Conn) == PQTRANS_IDLE);
    CHECK(Client.query("BEGIN") == "BEGIN");
    CHECK(ReceivedRequests.back().transaction != Transaction);
    CHECK(Entry.Router.ReleasedTransactions.empty());
  }
  CHECK(Entry.runUntil([&] { return Entry.Listener->callers() == 0; }));
  CHECK(Entry.Router.ReleasedTransactions.size() == 1);
}

TEST_CASE("caller: a session token transfers the floor to another connection") {
  test_entry Entry;
  client First(Entry, Entry.conninfo());
  auto Fresh = First.token();
  First.query("INSERT INTO t VALUES (1)");
  auto Token = First.token();
  CHECK(Token != Fresh);
  CHECK(First.query("SHOW teasellock.session") == Token);
  client Second(
      Entry, Entry.conninfo("options='-c teasellock.session=" + Token + "'"));
  REQUIRE(Second.connected());
  Second.query("SELECT 1");
  CHECK(Entry.Router.ReceivedRequests.back().floor_known);
  CHECK(Entry.Router.ReceivedRequests.back().floor.offset == 101);
  client Third(Entry, Entry.conninfo());
  CHECK(Third.query("SET teasellock.session = '" + Token + "'") == "SET");
  CHECK(Third.token() == Token);
  CHECK(Third.query("SET teasellock.session = '1.2.3'") == "!28000");
  CHECK(Third.query("SET teasellock.session = '" + Token + "0'") == "!28000");
  client Forged(Entry, Entry.conninfo("options='-c teasellock.session=bad'"));
  CHECK_FALSE(Forged.connected());
}

TEST_CASE("caller: settings are checked by the upstream and then sent with "
          "each request") {
  test_entry Entry;
  client Client(Entry, Entry.conninfo("application_name=app"));
  CHECK(Client.query("SET work_mem = '8MB'") == "SET");
  CHECK(Entry.Router.ReceivedRequests.back().steps[0].sql ==
        "SELECT pg_catalog.set_config('work_mem', '8MB', true)");
  CHECK(Client.queryWith("SELECT $1", "a") == "a");
  CHECK(Entry.Router.ReceivedRequests.back().settings ==
        std::map<std::string, std::string>{{"work_mem", "8MB"}});
  CHECK(Client.query("SET a.fail = '1'") == "!42P01");
  CHECK(Client.query("SHOW application_name") == "app");
  CHECK(Client.query("SET statement_timeout = '2s'") == "SET");
  Client.query("SELECT 1 /*read_kind='stock',idempotency_key='k%201'*/");
  CHECK(Entry.Router.ReceivedRequests.back().timeout_ms == 2000);
  CHECK(Entry.Router.ReceivedRequests.back().read_kind == "stock");
  CHECK(Entry.Router.ReceivedRequests.back().idempotency_key == "k 1");
  CHECK(Client.query("DISCARD ALL") == "DISCARD ALL");
  Client.query("SELECT 1");
  CHECK(Entry.Router.ReceivedRequests.back().settings.empty());
}

TEST_CASE(
    "caller: the outcomes unknown and not run are reported to the caller") {
  test_entry Entry;
  client Client(Entry, Entry.conninfo());
  Entry.Router.HoldReplies = true;
  auto ReplyWith = [&](wire::statement_outcome::type Outcome,
                       const char *Code) {
    REQUIRE(
        Entry.runUntil([&] { return !Entry.Router.PendingRequests.empty(); }));
    auto Next = std::move(Entry.Router.PendingRequests.front());
    Entry.Router.PendingRequests.pop_front();
    wire::statement_reply Reply;
    Reply.outcome = Outcome;
    Reply.code = Code;
    Reply.problem = "problem";
    Reply.last = true;
    Reply.transaction_status = 'I';
    Next.Reply(Reply);
  };
  REQUIRE(PQsendQuery(Client.Conn, "INSERT INTO t VALUES (1)") == 1);
  ReplyWith(wire::statement_outcome::unknown, "08007");
  CHECK(Client.results() == "!08007");
  Entry.Router.HoldReplies = false;
  Client.query("SELECT 1");
  // The position of the write with unknown outcome may be higher than any that
  // the session has received.
  CHECK_FALSE(Entry.Router.ReceivedRequests.back().floor_known);
  CHECK(Client.query("BEGIN") == "BEGIN");
  Entry.Router.HoldReplies = true;
  REQUIRE(PQsendQuery(Client.Conn, "INSERT INTO t VALUES (1)") == 1);
  ReplyWith(wire::statement_outcome::not_run, "40001");
  CHECK(Client.results() == "!40001");
  CHECK(PQtransactionStatus(Client.Conn) == PQTRANS_INERROR);
  CHECK(Client.query("SELECT 1") == "!25P02");
  CHECK(Client.query("COMMIT") == "ROLLBACK");
  CHECK(PQtransactionStatus(Client.Conn) == PQTRANS_IDLE);
}

TEST_CASE("caller: drain closes idle callers and lets transactions finish") {
  test_entry Entry;
  client Idle(Entry, Entry.conninfo());
  client Working(Entry, Entry.conninfo());
  CHECK(Working.query("BEGIN") == "BEGIN");
  bool Done = false;
  Entry.Listener->drain([&] { Done = true; });
  CHECK(Entry.runUntil([&] { return Entry.Listener->callers() == 1; }));
  CHECK(Working.queryWith("SELECT $1", "a") == "a");
  CHECK_FALSE(Done);
  CHECK(Working.query("COMMIT").substr(0, 6) == "COMMIT");
  CHECK(Entry.runUntil([&] { return Done; }));
}

TEST_CASE("caller: pipeline mode delivers results in order") {
  test_entry Entry;
  client Client(Entry, Entry.conninfo());
  REQUIRE(PQenterPipelineMode(Client.Conn) == 1);
  for (const char *Value : {"a", "b", "c"})
    REQUIRE(PQsendQueryParams(Client.Conn, "SELECT $1", 1, nullptr, &Value,
                              nullptr, nullptr, 0) == 1);
  REQUIRE(PQpipelineSync(Client.Conn) == 1);
  PQflush(Client.Conn);
  CHECK(Client.results() == "a");
  CHECK(Client.results() == "b");
  CHECK(Client.results() == "c");
}
