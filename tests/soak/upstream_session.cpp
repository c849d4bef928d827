#include "tests/soak/upstream_session.h"

namespace teasellock::soak {

namespace {

constexpr std::size_t MaxFields = 3;

std::string extractWord(std::string_view &Rest) {
  std::size_t End = std::min(Rest.find(' '), Rest.size());
  std::string Word(Rest.substr(0, End));
  Rest.remove_prefix(std::min(End + 1, Rest.size()));
  return Word;
}

position parsePosition(const std::string &Text) {
  std::size_t Dot = Text.find('.');
  return {term(std::stoull(Text.substr(0, Dot))),
          std::stoull(Text.substr(Dot + 1))};
}

} // namespace

upstream_statement parseUpstreamStatement(std::string_view Line) {
  upstream_statement Statement;
  Statement.Id = extractWord(Line);
  if (Line.starts_with("AFTER ")) {
    extractWord(Line);
    Statement.After = parsePosition(extractWord(Line));
  }
  Statement.Text = Line;
  Statement.Verb = extractWord(Line);
  while (!Line.empty() && Statement.Fields.size() + 1 < MaxFields)
    Statement.Fields.push_back(extractWord(Line));
  if (!Line.empty())
    Statement.Fields.emplace_back(Line);
  return Statement;
}

std::string readItem(const upstream_node &Node,
                     const std::optional<open_transaction> &Transaction,
                     const std::string &Item) {
  if (Transaction && Transaction->Items.contains(Item))
    return Transaction->Items.at(Item);
  for (std::size_t Index = Node.AppliedCount; Index > 0; --Index) {
    const auto &Items = Node.Log[Index - 1].Items;
    if (auto Found = Items.find(Item); Found != Items.end())
      return Found->second;
  }
  return "none";
}

bool hasApplied(const upstream_node &Node, const position &Position) {
  return Position.Offset == 0 ||
         (Node.AppliedCount > 0 &&
          Node.Log[Node.AppliedCount - 1].Position >= Position);
}

} // namespace teasellock::soak
