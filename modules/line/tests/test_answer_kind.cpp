#include "modules/line/line_connection.h"

#include <doctest/doctest.h>

using namespace teasellock;

namespace {

line_answer answerOf(std::vector<std::string> Rows, std::string Signature,
                     char State) {
  line_answer Answer;
  Answer.Rows = std::move(Rows);
  Answer.Signature = std::move(Signature);
  Answer.Ready.State = State;
  return Answer;
}

} // namespace

// Guards against an answer that passes for that of another statement: the
// answer to a ROLLBACK was forwarded as that of a read whose own answer was
// lost.
TEST_CASE("line: an answer fits only statements of its kind") {
  using enum answer_kind;
  auto Read = answerOf({"row"}, "s1", 'T');
  auto Write = answerOf({}, "s1", 'I');
  auto Began = answerOf({}, "", 'T');
  auto RolledBack = answerOf({}, "", 'I');
  auto StatusRow = answerOf({"replica 1 1.1 0"}, "", 'I');
  for (auto Kind : {Session, Begin, Rollback, answer_kind::Status}) {
    CHECK_FALSE(fits(Read, Kind, 'T'));
    CHECK_FALSE(fits(Write, Kind, 'I'));
  }
  for (const auto &Answer : {Began, RolledBack, StatusRow})
    CHECK_FALSE(fits(Answer, Signed, Answer.Ready.State));
  CHECK(fits(Read, Signed, 'T'));
  CHECK(fits(Write, Signed, 'I'));
  CHECK(fits(Began, Begin, 'I'));
  CHECK_FALSE(fits(RolledBack, Begin, 'I'));
  CHECK(fits(RolledBack, Rollback, 'T'));
  CHECK_FALSE(fits(Began, Rollback, 'T'));
  // A statement about the session neither begins nor ends a transaction.
  CHECK(fits(RolledBack, Session, 'I'));
  CHECK_FALSE(fits(Began, Session, 'I'));
  CHECK_FALSE(fits(StatusRow, Session, 'I'));
  CHECK(fits(StatusRow, answer_kind::Status, 'I'));
  CHECK_FALSE(fits(RolledBack, answer_kind::Status, 'I'));
  // What failed is never taken for a success.
  auto Failed = RolledBack;
  Failed.Failure = line_failure{line_error::Busy, ""};
  CHECK(fits(Failed, Signed, 'I'));
}
