#include "modules/control/control_state.h"
#include "modules/control/renewal_reply.h"
#include "modules/control/table_edit.h"
#include "modules/link/codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

table_row rowOf(int Group, std::uint32_t QueueLimit) {
  table_row Row;
  Row.Group = group_id("g" + std::to_string(Group));
  Row.QueueLimit = QueueLimit;
  return Row;
}

/// The outcomes that operators received, and the resulting table.
struct table_model {
  std::uint64_t Version = 0;
  std::vector<table_row> Rows;
  std::map<std::string, edit_outcome> Answers;
};

/// Submits an edit to the state and to the model.
void submit(control_state &State, table_model &Model, std::uint64_t Index,
            const std::string &Edit, std::uint64_t Base,
            const std::vector<table_row> &Rows) {
  applyCommand(State, revision(Index),
               makeEditCommand(edit_id(Edit), table_version(Base), Rows));
  const auto *Answer = findEditOutcome(State, edit_id(Edit));
  RC_ASSERT(Answer != nullptr);
  auto Known = Model.Answers.find(Edit);
  if (Known != Model.Answers.end()) {
    RC_ASSERT(*Answer == Known->second);
    return;
  }
  RC_ASSERT(Answer->Accepted == (Base == Model.Version));
  if (Answer->Accepted) {
    ++Model.Version;
    Model.Rows = Rows;
  }
  RC_ASSERT(Answer->Version.Value == Model.Version);
  Model.Answers[Edit] = *Answer;
}

} // namespace

TEST_CASE("control: one of several concurrent edits wins, and a resent edit "
          "gets the first answer again") {
  bool Held = rc::check("table", [] {
    control_state State;
    table_model Model;
    auto Steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1 << 20));
    std::uint64_t Index = 0;
    for (int Step : Steps) {
      std::uint64_t Behind = static_cast<std::uint64_t>(Step % 3);
      std::uint64_t Base = Model.Version - std::min(Model.Version, Behind);
      std::vector<table_row> Rows;
      for (int Group = 0; Group < Step / 8 % 4; ++Group)
        Rows.push_back(
            rowOf(Group, static_cast<std::uint32_t>(Step / 32 % 3 + 1)));
      submit(State, Model, ++Index, "e" + std::to_string(Step / 128 % 16), Base,
             Rows);
      RC_ASSERT(tableRows(State) == Model.Rows);
      // A snapshot restores the same state.
      RC_ASSERT(decodeSnapshot(encodeSnapshot(State)) == State);
    }
  });
  CHECK(Held);
}

TEST_CASE("control: an edit changes only the groups whose rows differ") {
  control_state State;
  applyCommand(State, revision(1),
               makeEditCommand(edit_id("a"), table_version(0),
                               {rowOf(1, 5), rowOf(2, 5)}));
  applyCommand(State, revision(2),
               makeEditCommand(edit_id("b"), table_version(1),
                               {rowOf(1, 6), rowOf(2, 5)}));
  CHECK((State.Groups[group_id("g1")].Revision == revision(2)));
  CHECK((State.Groups[group_id("g2")].Revision == revision(1)));
  auto Reply = changesSince(State, revision(1));
  REQUIRE(Reply.groups.size() == 1);
  CHECK(Reply.groups.front().group == "g1");
}

TEST_CASE("control: changes are split over replies without loss, even those of "
          "one log entry") {
  control_state State;
  constexpr std::uint64_t Groups = 2000;
  std::vector<table_row> Rows;
  for (std::uint64_t Number = 0; Number < Groups; ++Number)
    Rows.push_back(rowOf(static_cast<int>(Number), 5));
  applyCommand(State, revision(1),
               makeEditCommand(edit_id("a"), table_version(0), Rows));
  for (std::uint64_t Index = 2; Index <= Groups / 2; ++Index) {
    upstream_announcement Upstream;
    Upstream.Group = group_id("g" + std::to_string(Index));
    Upstream.Upstream = upstream_id("upstream");
    Upstream.Address = {"10.0.0.1", 5432};
    applyCommand(State, revision(Index), makeAnnouncementCommand(Upstream));
  }
  wire::renewal Renewal;
  std::size_t Seen = 0;
  wire::renewal_reply Reply;
  do {
    Reply = changesSince(
        State, revision(static_cast<std::uint64_t>(Renewal.applied_revision)),
        cursorOf(Renewal));
    std::size_t Bytes = 0;
    for (const auto &View : Reply.groups)
      Bytes += encode(View).size();
    REQUIRE(Bytes <= MaxRenewalReplyBytes);
    REQUIRE(Reply.revision >= Renewal.applied_revision);
    Seen += Reply.groups.size();
    Renewal.applied_revision = Reply.revision;
    Renewal.after_revision = Reply.groups.back().revision;
    Renewal.after_group = Reply.groups.back().group;
  } while (Reply.more);
  CHECK(Seen == Groups);
  CHECK(Reply.revision == static_cast<std::int64_t>(Groups / 2));
}

TEST_CASE("control: a group command based on an older revision changes "
          "nothing") {
  control_state State;
  applyCommand(State, revision(1),
               makeEditCommand(edit_id("a"), table_version(0), {rowOf(1, 5)}));
  auto Next = State.Groups[group_id("g1")];
  Next.Term = term(4);
  applyCommand(State, revision(2),
               makeEditCommand(edit_id("b"), table_version(1), {rowOf(1, 6)}));
  applyCommand(State, revision(3), makeGroupCommand(Next));
  CHECK((State.Groups[group_id("g1")].Term == term()));
}

TEST_CASE("control: every problem of a submitted table is listed") {
  auto Edit = parseEdit(
      R"({"rows":[{"group":"a","gateways":"x"},{"group":"b"},{"group":"b"}]})");
  CHECK(Edit.Problems.size() == 4);
  CHECK(parseEdit("not json").Problems.size() == 1);
  CHECK(problemsJson({{"a\xff", "f", "v", "r"}}).find("errors") !=
        std::string::npos);
  bool Safe = rc::check("any body is answered",
                        [](const std::string &Body) { parseEdit(Body); });
  CHECK(Safe);
}
