#include "tests/stand_in/executor.h"
#include "tests/stand_in/replication.h"
#include "tests/stand_in/tokenizer.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace teasellock::stand_in;

namespace {

/// Executes statements on a store without a server.
struct store_fixture {
  store_fixture() {
    Environment.CallFunction = [](const std::string &Name,
                                  const std::vector<value> &) -> value {
      throw sql_error("42883", "no function " + Name);
    };
    Environment.FindVirtualTable = [](const std::string &) {
      return std::nullopt;
    };
    Environment.RecordInsert = [](const std::string &, const std::string &) {};
  }

  execution run(transaction &Transaction, const std::string &Sql,
                const std::vector<value> &Parameters = {}) {
    auto Statements = parseStatements(Sql);
    return executeStatement(Store, Transaction, Statements.at(0), Parameters,
                            Environment);
  }

  result commit(const std::string &Sql) {
    transaction Transaction;
    Transaction.Owner = 1;
    execution Execution = run(Transaction, Sql);
    REQUIRE_FALSE(Execution.LockOwner);
    Store.commit(Transaction);
    return Execution.Result;
  }

  std::string stateOf(const std::string &Sql) {
    try {
      commit(Sql);
    } catch (const sql_error &Error) {
      return Error.sqlState();
    }
    return "00000";
  }

  store Store;
  execution_environment Environment;
};

void catchUp(store &Replica, const store &Primary) {
  for (std::size_t At = Replica.log().size(); At < Primary.log().size(); ++At)
    Replica.applyRecord(Primary.log()[At].Bytes);
}

std::size_t findCommonPrefix(const store &Own, const store &Primary) {
  prefix_search Search = startPrefixSearch(Own.log().size());
  while (!Search.IsDone) {
    std::string Question, Answer;
    writeProbe(Question, Own, Search.ProbeLength);
    std::size_t Offset = 0;
    sender_state Sender;
    handleReplicaMessage(Sender, Primary,
                         *extractMessage(Question, Offset, false), Answer);
    Offset = 0;
    auto Reply =
        parseProbeReply(extractMessage(Answer, Offset, false)->Payload);
    applyProbeReply(Search, Reply.Matches, Reply.Records);
  }
  return Search.MatchedRecords;
}

} // namespace

TEST_CASE("stand-in: comments and quotes are tokenized") {
  auto Tokens = tokenize("SELECT /*a /*b*/ c*/ 'it''s' -- end\n, \"Id\", $12");
  REQUIRE(Tokens.size() == 7);
  CHECK(Tokens[0].Text == "select");
  CHECK(Tokens[1].Text == "it's");
  CHECK(Tokens[3].Text == "Id");
  CHECK(Tokens[5].Text == "12");
  CHECK_THROWS_AS(tokenize("SELECT 'x"), sql_error);
  CHECK_THROWS_AS(tokenize("/* x"), sql_error);
}

TEST_CASE("stand-in: invalid SQL is rejected with its SQLSTATE") {
  store_fixture Tables;
  CHECK(Tables.stateOf("SELEC 1") == "42601");
  CHECK(Tables.stateOf("SELECT * FROM nowhere") == "42P01");
  CHECK(Tables.stateOf("SELECT nothing FROM stock") == "42703");
  CHECK(Tables.stateOf("SELECT nofunction()") == "42883");
  CHECK(Tables.stateOf("INSERT INTO stock VALUES ('a', 'b')") == "22P02");
  CHECK(Tables.stateOf("INSERT INTO stock VALUES (NULL, 1)") == "23502");
  CHECK(Tables.stateOf("INSERT INTO stock VALUES ('a', 1), ('a', 2)") ==
        "23505");
  CHECK(Tables.stateOf("INSERT INTO stock VALUES ('a', $1)") == "42P02");
  CHECK(Tables.stateOf("CREATE TABLE t (a floaty)") == "42704");
  std::string Deep(5000, '(');
  CHECK(Tables.stateOf("SELECT " + Deep) == "54001");
}

TEST_CASE("stand-in: selects filter, sort, limit and sum") {
  store_fixture Tables;
  Tables.commit("INSERT INTO stock VALUES ('a', 1), ('b', 5), ('c', 3)");
  auto Sorted = Tables.commit("SELECT item FROM stock WHERE amount >= 2 AND "
                              "item <> 'z' ORDER BY amount DESC LIMIT 1");
  REQUIRE(Sorted.Rows.size() == 1);
  CHECK(toText(Sorted.Rows[0][0]) == "b");
  auto Sum = Tables.commit("SELECT count(*), sum(amount) FROM stock");
  CHECK(toText(Sum.Rows.at(0)[0]) == "3");
  CHECK(toText(Sum.Rows.at(0)[1]) == "9");
  Tables.commit("UPDATE stock SET amount = amount - 2 WHERE item = 'c'");
  CHECK(toText(Tables.commit("SELECT amount FROM stock WHERE item = 'c'")
                   .Rows.at(0)[0]) == "1");
  CHECK(Tables.commit("DELETE FROM stock WHERE amount < 5").CommandTag ==
        "DELETE 2");
}

TEST_CASE("stand-in: an insert waits for the holder of the lock on its key") {
  store_fixture Tables;
  transaction First, Second;
  First.Owner = 1;
  Second.Owner = 2;
  const char *Sql =
      "INSERT INTO teasellock_idempotency (key, outcome) VALUES ('k', 'ran')";
  CHECK_FALSE(Tables.run(First, Sql).LockOwner);
  CHECK(Tables.run(Second, Sql).LockOwner == 1);
  CHECK(Second.Changes.empty());
  SUBCASE("and goes in after a rollback") {
    Tables.Store.rollback(First);
    CHECK_FALSE(Tables.run(Second, Sql).LockOwner);
    CHECK(Tables.Store.commit(Second));
  }
  SUBCASE("and conflicts after a commit") {
    Tables.Store.commit(First);
    CHECK_THROWS_AS(Tables.run(Second, Sql), sql_error);
  }
}

TEST_CASE("stand-in: a record holds the term that it leaves behind") {
  store_fixture Tables;
  Tables.commit("INSERT INTO stock VALUES ('a', 1)");
  Tables.commit("UPDATE teasellock_term SET term = 4");
  Tables.commit("INSERT INTO stock VALUES ('b', 1)");
  REQUIRE(Tables.Store.log().size() == 3);
  CHECK(Tables.Store.log()[0].Term == 0);
  CHECK(Tables.Store.log()[1].Term == 4);
  CHECK(Tables.Store.log()[2].Term == 4);
  CHECK(Tables.Store.endOffset() == Tables.Store.log()[2].End);
}

TEST_CASE("stand-in: malformed log records are refused") {
  CHECK(rc::check([](const std::string &Bytes) {
    store Store;
    std::uint64_t Before = Store.endOffset();
    try {
      Store.applyRecord(Bytes);
    } catch (const sql_error &Error) {
      RC_ASSERT(Error.sqlState() == "XX001");
      RC_ASSERT(Store.endOffset() == Before);
    }
  }));
}

TEST_CASE("stand-in: a replica finds the common prefix and catches up") {
  CHECK(rc::check([] {
    store_fixture Primary, Replica;
    auto Shared = *rc::gen::inRange(0, 30);
    auto Lost = *rc::gen::inRange(0, 30);
    auto Newer = *rc::gen::inRange(0, 30);
    for (int Index = 0; Index < Shared; ++Index)
      Primary.commit("INSERT INTO bookings (id) VALUES ('s" +
                     std::to_string(Index) + "')");
    catchUp(Replica.Store, Primary.Store);
    for (int Index = 0; Index < Lost; ++Index)
      Replica.commit("INSERT INTO bookings (id) VALUES ('l" +
                     std::to_string(Index) + "')");
    for (int Index = 0; Index < Newer; ++Index)
      Primary.commit("INSERT INTO bookings (id) VALUES ('n" +
                     std::to_string(Index) + "')");
    std::size_t Found = findCommonPrefix(Replica.Store, Primary.Store);
    RC_ASSERT(Found == static_cast<std::size_t>(Shared));
    Replica.Store.truncate(Found);
    catchUp(Replica.Store, Primary.Store);
    RC_ASSERT(Replica.Store.checksum() == Primary.Store.checksum());
    RC_ASSERT(Replica.Store.find("bookings")->Rows ==
              Primary.Store.find("bookings")->Rows);
  }));
}

TEST_CASE("stand-in: transactions behave like updates of a map") {
  CHECK(rc::check([] {
    store_fixture Tables;
    std::map<std::string, std::int64_t> Committed, Open;
    transaction Transaction;
    Transaction.Owner = 7;
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 6));
    for (int Step : Steps) {
      std::string Key(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
      std::string Where = " WHERE item = '" + Key + "'";
      if (Step == 0) {
        Tables.run(Transaction, "INSERT INTO stock VALUES ('" + Key +
                                    "', 1) ON CONFLICT DO NOTHING");
        Open.try_emplace(Key, 1);
      } else if (Step == 1) {
        Tables.run(Transaction, "UPDATE stock SET amount = amount + 1" + Where);
        if (Open.contains(Key))
          ++Open[Key];
      } else if (Step == 2) {
        Tables.run(Transaction, "DELETE FROM stock" + Where);
        Open.erase(Key);
      } else if (Step == 3) {
        Tables.Store.commit(Transaction);
        Committed = Open;
      } else if (Step == 4) {
        Tables.Store.rollback(Transaction);
        Open = Committed;
      }
      auto Seen = Tables.run(Transaction, "SELECT item, amount FROM stock");
      std::map<std::string, std::int64_t> Rows;
      for (const row &Row : Seen.Result.Rows)
        Rows[toText(Row[0])] = toInteger(Row[1]);
      RC_ASSERT(Rows == Open);
      RC_ASSERT(Tables.Store.find("stock")->Rows.size() == Committed.size());
    }
  }));
}
