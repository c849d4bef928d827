#include "tests/soak/upstream_session.h"

namespace teasellock::soak {

namespace {

constexpr std::size_t MostFields = 3;

std::string takeWord(std::string_view &Rest) {
  std::size_t End = std::min(Rest.find(' '), Rest.size());
  std::string Word(Rest.substr(0, End));
  Rest.remove_prefix(std::min(End + 1, Rest.size()));
  return Word;
}

position readPosition(const std::string &Text) {
  std::size_t Dot = Text.find('.');
  return {term(std::stoull(Text.substr(0, Dot))),
          std::stoull(Text.substr(Dot + 1))};
}

} // namespace

upstream_statement readUpstreamStatement(std::string_view Line) {
  upstream_statement Statement;
  Statement.Id = takeWord(Line);
  if (Line.starts_with("AFTER ")) {
    takeWord(Line);
    Statement.After = readPosition(takeWord(Line));
  }
  Statement.Text = Line;
  Statement.Verb = takeWord(Line);
  while (!Line.empty() && Statement.Fields.size() + 1 < MostFields)
    Statement.Fields.push_back(takeWord(Line));
  if (!Line.empty())
    Statement.Fields.emplace_back(Line);
  return Statement;
}

std::string valueOf(const upstream_node &Node,
                    const std::optional<open_transaction> &Transaction,
                    const std::string &Item) {
  if (Transaction && Transaction->Items.contains(Item))
    return Transaction->Items.at(Item);
  for (std::size_t Index = Node.Applied; Index > 0; --Index) {
    const auto &Items = Node.Log[Index - 1].Items;
    if (auto Found = Items.find(Item); Found != Items.end())
      return Found->second;
  }
  return "none";
}

bool holdsPosition(const upstream_node &Node, const position &Position) {
  return Position.Offset == 0 ||
         (Node.Applied > 0 && Node.Log[Node.Applied - 1].Position >= Position);
}

} // namespace teasellock::soak
