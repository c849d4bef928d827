#include "modules/caller/caller_state.h"

#include "core/error.h"
#include "modules/caller/wire_format.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

caller_environment environment() {
  caller_environment Environment;
  Environment.TokenSecret = "secret";
  Environment.IsGroupServed = [](const group_id &) { return true; };
  return Environment;
}

std::string startupPacket() {
  std::string Body("\0\3\0\0user\0u\0database\0despacho\0\0", 31);
  std::string Message;
  pg::message_writer('x').bytes(Body).append(Message);
  return Message.substr(1);
}

std::string messageOf(char Type, const std::string &Body) {
  std::string Message;
  pg::message_writer(Type).bytes(Body).append(Message);
  return Message;
}

/// Returns the types of the messages in Bytes. Fails the property when the last
/// message is incomplete.
std::string typesOf(std::string_view Bytes) {
  std::string Types;
  while (!Bytes.empty()) {
    auto Frame = pg::nextFrame(Bytes, false);
    RC_ASSERT(Frame.has_value());
    Types += Frame->Type;
    Bytes.remove_prefix(Frame->Size);
  }
  return Types;
}

wire::statement_reply errorReply() {
  wire::statement_reply Reply;
  Reply.outcome = wire::statement_outcome::answered;
  pg::appendError(Reply.messages, "ERROR", "42601", "syntax error");
  Reply.last = true;
  Reply.transaction_status = 'I';
  return Reply;
}

/// Passes a stream in chunks of ChunkBytes and answers each request with an
/// error. Returns the output.
std::string feedInChunks(caller_state &State, caller_environment &Environment,
                         const std::string &Stream, std::size_t ChunkBytes) {
  std::string In;
  std::string Out;
  for (std::size_t At = 0; At < Stream.size(); At += ChunkBytes) {
    In += Stream.substr(At, ChunkBytes);
    for (bool Submitted = true; Submitted;) {
      caller_effects Effects;
      In.erase(0, consumeBytes(State, Environment, In, Effects));
      Submitted = Effects.Submit.has_value();
      if (Submitted)
        handleReply(State, Environment, errorReply(), Effects);
      Out += Effects.Out;
    }
  }
  return Out;
}

std::string classesOf(const std::string &Text) {
  std::string Names;
  for (const auto &Info : classify(Text).Statements)
    Names += std::string(Names.empty() ? "" : " ") + toString(Info.Class);
  return Names;
}

} // namespace

TEST_CASE("caller: random bytes neither crash the entry nor yield malformed "
          "output") {
  bool Passed =
      rc::check("random bytes after startup", [](std::string RandomBytes) {
        auto Environment = environment();
        caller_state State;
        auto ChunkBytes = *rc::gen::inRange<std::size_t>(1, 50);
        auto Out = feedInChunks(State, Environment,
                                startupPacket() + RandomBytes, ChunkBytes);
        typesOf(Out);
      });
  CHECK(Passed);
  Passed =
      rc::check("random bytes before startup", [](std::string RandomBytes) {
        auto Environment = environment();
        caller_state State;
        feedInChunks(State, Environment, RandomBytes, 7);
      });
  CHECK(Passed);
}

TEST_CASE("caller: well-framed random messages get one ReadyForQuery for each "
          "Query and Sync") {
  bool Passed = rc::check("random messages", [] {
    auto Environment = environment();
    caller_state State;
    auto Types = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("PBDECHSQd")));
    std::string Stream = startupPacket();
    std::size_t Ready = 1;
    char Previous = 'S';
    for (char Type : Types) {
      // After an error in the extended protocol, messages up to the next Sync
      // are skipped, as in PostgreSQL; a Sync keeps the query from being
      // skipped.
      if (Type == 'Q' && Previous != 'S' && Previous != 'Q') {
        Stream += messageOf('S', "");
        ++Ready;
      }
      Previous = Type;
      std::string Body;
      bool Valid = *rc::gen::inRange(0, 10) > 0;
      auto Name = *rc::gen::elementOf(std::string("ab"));
      std::string NameText = std::string(1, Name) + std::string(1, '\0');
      if (Type == 'Q')
        Body = *rc::gen::elementOf(std::vector<std::string>{
            "SELECT 1", "SHOW teasellock.session", "", "SET a.b = '1'", "BEGIN",
            "COPY t TO STDOUT", "DISCARD ALL"});
      if (Type == 'Q')
        Body += '\0';
      if (Type == 'P')
        Body = NameText + "SELECT 1" + std::string(3, '\0');
      if (Type == 'B')
        Body = NameText + NameText + std::string(6, '\0');
      if (Type == 'D' || Type == 'C')
        Body = "S" + NameText;
      if (Type == 'E')
        Body = NameText + std::string(4, '\0');
      if (!Valid && Type != 'S' && Type != 'H' && Type != 'd')
        Body = *rc::gen::arbitrary<std::string>();
      Stream += messageOf(Type, Body);
      Ready += Type == 'Q' || Type == 'S';
    }
    auto Sent = typesOf(feedInChunks(State, Environment, Stream,
                                     *rc::gen::inRange<std::size_t>(1, 200)));
    auto Count =
        static_cast<std::size_t>(std::count(Sent.begin(), Sent.end(), 'Z'));
    if (State.Phase == caller_state::phase::Closed)
      RC_ASSERT(Count <= Ready);
    else
      RC_ASSERT(Count == Ready);
  });
  CHECK(Passed);
}

TEST_CASE("caller: a portal's rows are sent in parts of the requested size") {
  auto Environment = environment();
  caller_state State;
  caller_effects Startup;
  consumeBytes(State, Environment, startupPacket(), Startup);
  auto Execute = [](char Rows) {
    return messageOf('E', std::string("\0\0\0\0", 4) + Rows);
  };
  std::string Sql("\0SELECT 1\0\0\0", 12);
  // Result formats: one binary column and one text column.
  std::string Bind("\0\0\0\0\0\0\0\2\0\1\0\0", 12);
  caller_effects Effects;
  consumeBytes(State, Environment,
               messageOf('P', Sql) + messageOf('B', Bind) + Execute(2) +
                   Execute(2) + messageOf('S', ""),
               Effects);
  REQUIRE(Effects.Submit.has_value());
  CHECK(Effects.Submit->Request.steps.size() == 1);
  CHECK(Effects.Submit->Request.steps[0].result_format == 1);
  wire::statement_reply Reply;
  pg::message_writer Columns('T');
  Columns.int16(2);
  for (int I = 0; I < 2; ++I)
    Columns.cString("c").int32(0).int16(0).int32(23).int16(4).int32(-1).int16(
        1);
  Columns.append(Reply.messages);
  for (int I = 0; I < 3; ++I)
    pg::message_writer('D')
        .int16(2)
        .int32(4)
        .int32(I)
        .int32(4)
        .int32(70 + I)
        .append(Reply.messages);
  pg::appendCommandComplete(Reply.messages, "SELECT 3");
  Reply.last = true;
  Reply.transaction_status = 'I';
  caller_effects ReplyEffects;
  handleReply(State, Environment, Reply, ReplyEffects);
  CHECK(typesOf(Effects.Out + ReplyEffects.Out) == "12DDsDCZ");
  CHECK(ReplyEffects.Out.find(std::string("\0\0\0\2"
                                          "72",
                                          6)) != std::string::npos);
}

TEST_CASE("caller: statements are classified by their possible effects") {
  CHECK(classesOf("SELECT lower(a), count(*) FROM t WHERE b > now()") ==
        "read");
  CHECK(classesOf("VALUES (1)") == "read");
  CHECK(classesOf("TABLE t") == "read");
  CHECK(classesOf("SELECT * FROM t FOR UPDATE") == "write");
  CHECK(classesOf("SELECT * FROM (SELECT 1 FROM t FOR SHARE) s") == "write");
  CHECK(classesOf("SELECT nextval('s')") == "write");
  CHECK(classesOf("SELECT app.lower('x')") == "write");
  CHECK(classesOf("SELECT * FROM claim_fare(1)") == "write");
  CHECK(classesOf("SELECT 1 INTO t") == "write");
  CHECK(classesOf("WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x") ==
        "write");
  CHECK(classesOf("EXPLAIN INSERT INTO t VALUES (1)") == "read");
  CHECK(classesOf("EXPLAIN ANALYZE INSERT INTO t VALUES (1)") == "write");
  CHECK(classesOf("BEGIN; INSERT INTO t VALUES (1); COMMIT") ==
        "begin write commit");
  CHECK(classesOf("START TRANSACTION READ ONLY") == "begin");
  CHECK(classesOf("SAVEPOINT a") == "write");
  CHECK(classesOf("SHOW work_mem") == "show");
  CHECK(classesOf("COPY t FROM STDIN") == "unsupported");
  CHECK(classesOf("CREATE TEMP TABLE t (a int)") == "unsupported");
  CHECK(classesOf("SELEC 1") == "write");
  CHECK(classify("SELEC 1").Unparsed);
  CHECK(classify("SELECT 1; SELECT 2").isReadOnly());
  std::string Long = "SELECT 1" + std::string(20000, ' ') + "+1";
  CHECK(classesOf("BEGIN;" + Long + ";COMMIT") == "begin write commit");
}

TEST_CASE("caller: binary values are converted to PostgreSQL's text format") {
  CHECK(pg::binaryToText(23, std::string("\xff\xff\xff\xfe", 4)) == "-2");
  CHECK(pg::binaryToText(16, std::string("\1", 1)) == "t");
  CHECK(pg::binaryToText(1082, std::string("\0\0\x26\x94", 4)) == "2027-01-15");
  CHECK(pg::binaryToText(
            701, std::string("\x3f\xb9\x99\x99\x99\x99\x99\x9a", 8)) == "0.1");
  CHECK(pg::binaryToText(3802, "\1{}") == "{}");
  CHECK_THROWS_AS(pg::binaryToText(1700, "x"), error);
  CHECK_THROWS_AS(pg::binaryToText(23, "x"), pg::protocol_error);
}

TEST_CASE("caller: settings with list values keep their elements separate") {
  auto ValueOf = [](const std::string &Text) {
    return classify(Text).Statements[0].Settings[0].Value.value_or("-");
  };
  CHECK(ValueOf("SET search_path TO a, \"B c\"") == "a, \"B c\"");
  CHECK(ValueOf("SET DateStyle TO ISO, DMY") == "iso, dmy");
  CHECK(ValueOf("SET TIME ZONE 3") == "3");
  CHECK(ValueOf("SET a.b TO DEFAULT") == "-");
}

TEST_CASE("caller: a token is accepted only if complete, unmodified and in "
          "its group") {
  bool Passed = rc::check("token", [](std::string Id, std::uint64_t Term,
                                      std::uint64_t Offset, bool Known) {
    session_state Session{session_id(Id.substr(0, 200)), group_id("g"), {}};
    if (Known)
      Session.Floor = position{term(Term), Offset};
    auto Token = toToken(Session, "secret");
    RC_ASSERT(parseToken(Token, group_id("g"), "secret") == Session);
    RC_ASSERT_THROWS_AS(parseToken(Token, group_id("h"), "secret"), error);
    RC_ASSERT_THROWS_AS(parseToken(Token, group_id("g"), "other"), error);
    auto At = *rc::gen::inRange<std::size_t>(0, Token.size());
    Token[At] = Token[At] == 'x' ? 'y' : 'x';
    RC_ASSERT_THROWS_AS(parseToken(Token, group_id("g"), "secret"), error);
  });
  CHECK(Passed);
}

TEST_CASE("caller: a session's floor covers its acknowledged writes") {
  // Models one register per session: a read must reflect the latest
  // acknowledged write, whichever entry the session is connected to.
  bool Passed = rc::check("register per session", [] {
    std::uint64_t PrimaryOffset = 1;
    std::uint64_t AcknowledgedOffset = 0;
    session_state Session{session_id("s"), group_id("g"), {}};
    int Steps = *rc::gen::inRange(1, 60);
    for (int I = 0; I < Steps; ++I) {
      PrimaryOffset += *rc::gen::inRange<std::uint64_t>(0, 3);
      switch (*rc::gen::inRange(0, 5)) {
      case 0:
        AcknowledgedOffset = ++PrimaryOffset;
        updateFloorAfterWrite(Session, {term(1), PrimaryOffset});
        break;
      case 1: {
        auto MinOffset = Session.Floor ? Session.Floor->Offset : PrimaryOffset;
        auto ReplicaOffset = *rc::gen::inRange(MinOffset, PrimaryOffset + 1);
        RC_ASSERT(ReplicaOffset >= AcknowledgedOffset);
        updateFloorAfterRead(Session, {term(1), ReplicaOffset}, true);
        break;
      }
      case 2:
        updateFloorAfterRead(Session, {term(1), PrimaryOffset}, false);
        break;
      case 3:
        ++PrimaryOffset;
        clearFloorAfterUnknownWrite(Session);
        break;
      default: {
        // The session moves to another entry, with its token or without.
        auto Token = toToken(Session, "secret");
        Session = *rc::gen::arbitrary<bool>()
                      ? parseToken(Token, group_id("g"), "secret")
                      : session_state{session_id("s"), group_id("g"), {}};
      }
      }
    }
  });
  CHECK(Passed);
}
