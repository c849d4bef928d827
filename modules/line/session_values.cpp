#include "modules/line/session_values.h"

#include <algorithm>

namespace teasellock {

namespace {

void applyChange(session_values &Values, const session_change &Change) {
  switch (Change.Kind) {
  case session_change::kind::Reset:
    Values.Settings.clear();
    Values.Prepared.clear();
    return;
  case session_change::kind::Set:
    Values.Settings[Change.Name] = Change.Value;
    return;
  case session_change::kind::Prepare:
    Values.Prepared.insert(Change.Name);
    return;
  }
}

/// Reports whether a statement that failed with this code may have changed the
/// session all the same.
bool mayHaveChanged(line_error Code) {
  return !isNotExecuted(Code) && Code != line_error::Malformed;
}

} // namespace

std::string preparedName(const wire::line_step &Step) {
  constexpr char Digits[] = "0123456789abcdef";
  std::uint64_t Hash = std::hash<std::string>()(Step.shape);
  std::string Name = Step.writes ? "tw" : "tr";
  for (int Shift = 60; Shift >= 0; Shift -= 4)
    Name += Digits[(Hash >> Shift) & 15];
  return Name;
}

session_preparation
planPreparation(const line_protocol &Protocol, const session_values &Values,
                const std::map<std::string, std::string> &RequestedSettings,
                const wire::line_step &Step) {
  session_preparation Plan;
  session_values After = Values;
  auto Add = [&](session_change Change) {
    applyChange(After, Change);
    Plan.Changes.push_back(std::move(Change));
  };
  bool NeedsReset = std::any_of(
      Values.Settings.begin(), Values.Settings.end(), [&](const auto &Entry) {
        return !RequestedSettings.contains(Entry.first);
      });
  if (NeedsReset) {
    Protocol.AppendReset(Plan.Bytes);
    Add({session_change::kind::Reset, "", ""});
  }
  for (const auto &[Name, Value] : RequestedSettings) {
    auto Known = After.Settings.find(Name);
    if (Known != After.Settings.end() && Known->second == Value)
      continue;
    Protocol.AppendSet(Plan.Bytes, Name, Value);
    Add({session_change::kind::Set, Name, Value});
  }
  if (Step.verb != wire::line_verb::execute)
    return Plan;
  std::string Name = preparedName(Step);
  if (After.Prepared.contains(Name))
    return Plan;
  Protocol.AppendPrepare(Plan.Bytes, Name, Step.writes, Step.shape);
  Add({session_change::kind::Prepare, Name, ""});
  return Plan;
}

void confirmChanges(session_values &Values,
                    const std::vector<session_change> &Changes,
                    const std::vector<line_answer> &Answers) {
  std::size_t Count = std::min(Changes.size(), Answers.size());
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const auto &Failure = Answers[Index].Failure;
    if (!Failure)
      applyChange(Values, Changes[Index]);
    else if (mayHaveChanged(Failure->Code))
      Values.AreUnknown = true;
  }
}

} // namespace teasellock
