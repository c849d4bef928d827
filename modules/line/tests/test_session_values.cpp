#include "modules/line/session_values.h"
#include "platform/line_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace teasellock;

namespace {

using settings = std::map<std::string, std::string>;

/// What the session at the upstream really has.
struct upstream_oracle {
  settings Settings;
  std::set<std::string> Prepared;

  void execute(const session_change &Change) {
    if (Change.Kind == session_change::kind::Reset) {
      Settings.clear();
      Prepared.clear();
    } else if (Change.Kind == session_change::kind::Set) {
      Settings[Change.Name] = Change.Value;
    } else {
      Prepared.insert(Change.Name);
    }
  }
};

line_answer failedWith(line_error Code) {
  line_answer Answer;
  Answer.Failure = line_failure{Code, ""};
  return Answer;
}

settings anySettings() {
  settings Result;
  for (const char *Name : {"a", "b", "c"})
    if (*rc::gen::arbitrary<bool>())
      Result[Name] = std::to_string(*rc::gen::inRange(0, 3));
  return Result;
}

wire::line_step anyStep() {
  wire::line_step Step;
  Step.verb = *rc::gen::arbitrary<bool>() ? wire::line_verb::execute
                                          : wire::line_verb::read;
  Step.shape = std::to_string(*rc::gen::inRange(0, 3));
  return Step;
}

/// Answers a batch like an upstream that may reject, fail or lose the rest of
/// it from any statement on.
std::vector<line_answer>
answerBatch(upstream_oracle &Upstream,
            const std::vector<session_change> &Changes) {
  std::vector<line_answer> Answers;
  auto Good = *rc::gen::inRange<std::size_t>(0, Changes.size() + 1);
  for (std::size_t Index = 0; Index < Changes.size(); ++Index) {
    if (Index < Good) {
      Upstream.execute(Changes[Index]);
      Answers.emplace_back();
      continue;
    }
    auto Code = *rc::gen::element(line_error::ReadOnly, line_error::Busy,
                                  line_error::Malformed, line_error::Failed,
                                  line_error::Timeout);
    bool IsExecuted = Code == line_error::Failed || Code == line_error::Timeout;
    if (IsExecuted && *rc::gen::arbitrary<bool>())
      Upstream.execute(Changes[Index]);
    Answers.push_back(failedWith(Code));
  }
  return Answers;
}

} // namespace

// Oracle: the values that the upstream really has. Guards against statements
// that run with other values than their caller was told.
TEST_CASE("line: a session's recorded values are those at the upstream") {
  CHECK(rc::check("values", [] {
    session_values Values;
    upstream_oracle Upstream;
    for (int Batch = 0; Batch < 20; ++Batch) {
      auto Requested = anySettings();
      auto Step = anyStep();
      auto Plan =
          planPreparation(platform::lineProtocol(), Values, Requested, Step);
      auto Answers = answerBatch(Upstream, Plan.Changes);
      bool Succeeded = std::none_of(
          Answers.begin(), Answers.end(),
          [](const line_answer &Answer) { return Answer.Failure.has_value(); });
      confirmChanges(Values, Plan.Changes, Answers);
      // Such a session is closed.
      if (Values.AreUnknown) {
        Values = {};
        Upstream = {};
        continue;
      }
      RC_ASSERT(Values.Settings == Upstream.Settings);
      RC_ASSERT(Values.Prepared == Upstream.Prepared);
      if (!Succeeded)
        continue;
      RC_ASSERT(Upstream.Settings == Requested);
      RC_ASSERT(Step.verb != wire::line_verb::execute ||
                Upstream.Prepared.contains(preparedName(Step)));
    }
  }));
}
