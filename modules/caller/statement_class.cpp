#include "modules/caller/statement_class.h"

#include "modules/caller/replica_safe_functions.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <pg_query.h>

namespace teasellock {

namespace {

using json = nlohmann::json;

/// Longer statements are not parsed but classified as writes, because the depth
/// of the parse tree, and so the recursion, grows with each operator. In bytes.
constexpr std::size_t MaxParsedBytes = 16 * 1024;
/// Statements whose parse tree is deeper than this are classified as writes.
constexpr int MaxTreeDepth = 2000;

std::string textOf(const json &Node, const char *Field) {
  auto Found = Node.find(Field);
  return Found != Node.end() && Found->is_string() ? Found->get<std::string>()
                                                   : std::string();
}

const json &childOf(const json &Node, const char *Field) {
  static const json Nothing;
  if (!Node.is_object())
    return Nothing;
  auto Found = Node.find(Field);
  return Found == Node.end() ? Nothing : *Found;
}

/// Reports whether a function call is known to be free of side effects. A
/// function in a schema other than pg_catalog is not.
bool callsSafeFunction(const json &Call) {
  const auto &Names = childOf(Call, "funcname");
  if (!Names.is_array() || Names.empty() || Names.size() > 2)
    return false;
  auto NameAt = [&](std::size_t I) {
    return textOf(childOf(Names[I], "String"), "sval");
  };
  if (Names.size() == 2 && NameAt(0) != "pg_catalog")
    return false;
  return isSafeFunction(NameAt(Names.size() - 1));
}

bool isReadOnlyNode(const json &Node, int Depth);

bool isReadOnlyMember(const std::string &Key, const json &Value, int Depth) {
  constexpr std::array<std::string_view, 6> Writing = {
      "InsertStmt", "UpdateStmt",    "DeleteStmt",
      "MergeStmt",  "lockingClause", "intoClause"};
  if (std::find(Writing.begin(), Writing.end(), Key) != Writing.end())
    return false;
  if (Key == "FuncCall" && !callsSafeFunction(Value))
    return false;
  return isReadOnlyNode(Value, Depth + 1);
}

bool isReadOnlyNode(const json &Node, int Depth) {
  if (Depth > MaxTreeDepth)
    return false;
  if (Node.is_array())
    return std::all_of(Node.begin(), Node.end(), [&](const json &Item) {
      return isReadOnlyNode(Item, Depth + 1);
    });
  if (!Node.is_object())
    return true;
  for (const auto &[Key, Value] : Node.items())
    if (!isReadOnlyMember(Key, Value, Depth))
      return false;
  return true;
}

std::optional<std::string> constantOf(const json &Arg) {
  const auto &Const = childOf(Arg, "A_Const");
  if (!Const.is_object())
    return std::nullopt;
  if (Const.contains("sval"))
    return textOf(Const["sval"], "sval");
  if (Const.contains("fval"))
    return textOf(Const["fval"], "fval");
  if (Const.contains("ival"))
    return std::to_string(Const["ival"].value("ival", 0));
  if (Const.contains("boolval"))
    return Const["boolval"].value("boolval", false) ? "true" : "false";
  return std::nullopt;
}

/// Reports whether a setting's value is a list of identifiers.
bool isIdentifierList(const std::string &Name) {
  return Name == "search_path" || Name == "temp_tablespaces" ||
         Name == "local_preload_libraries" ||
         Name == "session_preload_libraries";
}

std::string quoteIdentifier(const std::string &Name) {
  bool Plain =
      !Name.empty() && !std::isdigit(static_cast<unsigned char>(Name[0]));
  for (char Char : Name)
    Plain = Plain &&
            (std::islower(static_cast<unsigned char>(Char)) ||
             std::isdigit(static_cast<unsigned char>(Char)) || Char == '_');
  if (Plain)
    return Name;
  std::string Quoted = "\"";
  for (char Char : Name)
    Quoted += Char == '"' ? std::string("\"\"") : std::string(1, Char);
  return Quoted + "\"";
}

statement_info unsupported(const std::string &Feature) {
  statement_info Info;
  Info.Class = statement_class::Unsupported;
  Info.Feature = Feature;
  return Info;
}

statement_info classifyCharacteristics(const json &Set) {
  statement_info Info;
  Info.Class = statement_class::Set;
  for (const auto &Option : childOf(Set, "args")) {
    const auto &Element = childOf(Option, "DefElem");
    auto Value = constantOf(childOf(Element, "arg"));
    if (!Value)
      return unsupported("this form of SET SESSION CHARACTERISTICS");
    auto Name = textOf(Element, "defname");
    if (Name == "transaction_read_only" || Name == "transaction_deferrable")
      Value = *Value == "0" ? "off" : "on";
    Info.Settings.push_back({"default_" + Name, Value});
  }
  return Info;
}

statement_info classifySet(const json &Set) {
  auto Kind = textOf(Set, "kind");
  statement_info Info;
  Info.IsLocal = Set.value("is_local", false);
  Info.Name = textOf(Set, "name");
  if (Kind == "VAR_SET_MULTI") {
    if (Info.Name == "SESSION CHARACTERISTICS")
      return classifyCharacteristics(Set);
    // SET TRANSACTION affects only the open transaction.
    Info.Class = statement_class::Write;
    return Info;
  }
  if (Kind == "VAR_RESET_ALL" || Kind == "VAR_RESET") {
    Info.Class = statement_class::Reset;
    return Info;
  }
  Info.Class = statement_class::Set;
  if (Kind == "VAR_SET_DEFAULT") {
    Info.Settings.push_back({Info.Name, std::nullopt});
    return Info;
  }
  if (Kind != "VAR_SET_VALUE")
    return unsupported("SET ... FROM CURRENT");
  std::string Value;
  for (const auto &Arg : childOf(Set, "args")) {
    auto Item = constantOf(Arg);
    if (!Item)
      return unsupported("this form of SET");
    if (!Value.empty())
      Value += ", ";
    Value += isIdentifierList(Info.Name) ? quoteIdentifier(*Item) : *Item;
  }
  Info.Settings.push_back({Info.Name, Value});
  return Info;
}

bool beginsReadOnly(const json &Transaction) {
  for (const auto &Option : childOf(Transaction, "options")) {
    const auto &Element = childOf(Option, "DefElem");
    if (textOf(Element, "defname") == "transaction_read_only")
      return constantOf(childOf(Element, "arg")) != "0";
  }
  return false;
}

statement_info classifyTransaction(const json &Transaction) {
  statement_info Info;
  auto Kind = textOf(Transaction, "kind");
  if (Kind == "TRANS_STMT_BEGIN" || Kind == "TRANS_STMT_START")
    Info.Class = beginsReadOnly(Transaction) ? statement_class::BeginReadOnly
                                             : statement_class::Begin;
  else if (Kind == "TRANS_STMT_COMMIT" || Kind == "TRANS_STMT_PREPARE")
    Info.Class = statement_class::Commit;
  else if (Kind == "TRANS_STMT_ROLLBACK")
    Info.Class = statement_class::Rollback;
  return Info;
}

statement_info classifyNode(const std::string &Type, const json &Node);

statement_info classifyExplain(const json &Explain) {
  statement_info Info;
  Info.Class = statement_class::Read;
  for (const auto &Option : childOf(Explain, "options"))
    if (textOf(childOf(Option, "DefElem"), "defname") == "analyze")
      Info.Class = isReadOnlyNode(childOf(Explain, "query"), 0)
                       ? statement_class::Read
                       : statement_class::Write;
  return Info;
}

bool createsTemporaryTable(const json &Node) {
  for (const char *Field : {"relation", "into"}) {
    const auto &Child = childOf(Node, Field);
    const auto &Relation =
        std::string_view(Field) == "into" ? childOf(Child, "rel") : Child;
    if (textOf(Relation, "relpersistence") == "t")
      return true;
  }
  return false;
}

statement_info classifyNamed(statement_class Class, const json &Node) {
  statement_info Info;
  Info.Class = Class;
  Info.Name = textOf(Node, "name");
  return Info;
}

statement_info classifyNode(const std::string &Type, const json &Node) {
  statement_info Info;
  if (Type == "SelectStmt") {
    if (isReadOnlyNode(Node, 0))
      Info.Class = statement_class::Read;
  } else if (Type == "TransactionStmt") {
    return classifyTransaction(Node);
  } else if (Type == "VariableSetStmt") {
    return classifySet(Node);
  } else if (Type == "VariableShowStmt") {
    return classifyNamed(statement_class::Show, Node);
  } else if (Type == "DiscardStmt") {
    Info.Class = statement_class::Discard;
    Info.Name = textOf(Node, "target");
  } else if (Type == "DeallocateStmt") {
    return classifyNamed(statement_class::Deallocate, Node);
  } else if (Type == "CopyStmt") {
    Info.Class = statement_class::Copy;
  } else if (Type == "ExplainStmt") {
    return classifyExplain(Node);
  } else if (Type == "PrepareStmt" || Type == "ExecuteStmt") {
    return unsupported("PREPARE and EXECUTE as SQL statements; use the "
                       "extended query protocol");
  } else if (Type == "ListenStmt" || Type == "UnlistenStmt") {
    return unsupported("LISTEN");
  } else if ((Type == "CreateStmt" || Type == "CreateTableAsStmt") &&
             createsTemporaryTable(Node)) {
    return unsupported("temporary tables");
  }
  return Info;
}

/// Parses a short text and appends its statements. Returns false when the
/// parser rejects it.
bool parseInto(const std::string &Text, std::vector<statement_info> &Out) {
  PgQueryParseResult Result = pg_query_parse(Text.c_str());
  struct guard {
    PgQueryParseResult &Result;
    ~guard() { pg_query_free_parse_result(Result); }
  } Guard{Result};
  if (Result.error)
    return false;
  auto Tree = json::parse(Result.parse_tree, nullptr, false);
  if (Tree.is_discarded())
    return false;
  for (const auto &Statement : childOf(Tree, "stmts"))
    for (const auto &[Type, Node] : childOf(Statement, "stmt").items())
      Out.push_back(classifyNode(Type, Node));
  return true;
}

/// Splits a long text into statements and parses the short ones; long ones are
/// classified as writes.
bool parseLongInto(const std::string &Text, std::vector<statement_info> &Out) {
  PgQuerySplitResult Result = pg_query_split_with_scanner(Text.c_str());
  struct guard {
    PgQuerySplitResult &Result;
    ~guard() { pg_query_free_split_result(Result); }
  } Guard{Result};
  if (Result.error)
    return false;
  for (int I = 0; I < Result.n_stmts; ++I) {
    auto Start = static_cast<std::size_t>(Result.stmts[I]->stmt_location);
    auto Length = static_cast<std::size_t>(Result.stmts[I]->stmt_len);
    if (Length > MaxParsedBytes)
      Out.emplace_back();
    else if (!parseInto(Text.substr(Start, Length), Out))
      return false;
  }
  return true;
}

std::string decodeUrl(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '\\' && I + 1 < Text.size()) {
      Out += Text[++I];
      continue;
    }
    unsigned Byte = 0;
    if (Text[I] == '%' && I + 2 < Text.size()) {
      auto End = Text.data() + I + 3;
      auto Result = std::from_chars(Text.data() + I + 1, End, Byte, 16);
      if (Result.ptr == End) {
        Out += static_cast<char>(Byte);
        I += 2;
        continue;
      }
    }
    Out += Text[I];
  }
  return Out;
}

/// Parses the key='value' pairs of a comment. Returns whether one of its keys
/// is known.
bool parseHintPairs(std::string_view Comment, statement_hints &Hints) {
  bool Found = false;
  for (;;) {
    auto Equals = Comment.find("='");
    if (Equals == std::string_view::npos)
      return Found;
    auto Key = Comment.substr(0, Equals);
    Key.remove_prefix(std::min(Key.size(), Key.find_first_not_of(", \t\r\n")));
    Comment.remove_prefix(Equals + 2);
    std::size_t End = 0;
    while (End < Comment.size() && Comment[End] != '\'')
      End += Comment[End] == '\\' ? 2 : 1;
    if (End >= Comment.size())
      return Found;
    auto Value = decodeUrl(Comment.substr(0, End));
    Comment.remove_prefix(End + 1);
    if (Key == "read_kind")
      Hints.ReadKind = Value;
    else if (Key == "idempotency_key")
      Hints.IdempotencyKey = Value;
    else if (Key == "traceparent")
      Hints.TraceParent = Value;
    else
      continue;
    Found = true;
  }
}

std::string_view trim(std::string_view Text) {
  constexpr std::string_view Space = " \t\r\n;";
  auto Start = Text.find_first_not_of(Space);
  if (Start == std::string_view::npos)
    return {};
  return Text.substr(Start, Text.find_last_not_of(Space) - Start + 1);
}

} // namespace

const char *toString(statement_class Class) {
  switch (Class) {
  case statement_class::Read:
    return "read";
  case statement_class::Write:
    return "write";
  case statement_class::Begin:
  case statement_class::BeginReadOnly:
    return "begin";
  case statement_class::Commit:
    return "commit";
  case statement_class::Rollback:
    return "rollback";
  case statement_class::Set:
  case statement_class::Reset:
  case statement_class::Discard:
  case statement_class::Deallocate:
    return "session";
  case statement_class::Show:
    return "show";
  case statement_class::Copy:
  case statement_class::Unsupported:
    return "unsupported";
  }
  return "write";
}

bool query_info::isReadOnly() const {
  return !Unparsed &&
         std::all_of(Statements.begin(), Statements.end(),
                     [](const statement_info &Info) {
                       return Info.Class == statement_class::Read ||
                              Info.Class == statement_class::Show;
                     });
}

bool query_info::contains(statement_class Class) const {
  return std::any_of(
      Statements.begin(), Statements.end(),
      [&](const statement_info &Info) { return Info.Class == Class; });
}

query_info classify(std::string_view Text) {
  query_info Info;
  std::string Copy(Text);
  bool Parsed = false;
  try {
    Parsed = Copy.size() <= MaxParsedBytes
                 ? parseInto(Copy, Info.Statements)
                 : parseLongInto(Copy, Info.Statements);
  } catch (const json::exception &) {
  }
  if (!Parsed) {
    Info.Statements.assign(1, statement_info());
    Info.Unparsed = true;
  }
  return Info;
}

statement_hints parseHints(std::string_view Text) {
  statement_hints Hints;
  Hints.TextWithoutHints = Text;
  auto Body = trim(Text);
  auto Start = Body.rfind("/*");
  if (Body.ends_with("*/") && Start != std::string_view::npos &&
      parseHintPairs(Body.substr(Start + 2, Body.size() - Start - 4), Hints)) {
    Hints.TextWithoutHints = Body.substr(0, Start);
    return Hints;
  }
  auto End = Body.find("*/");
  if (Body.starts_with("/*") && End != std::string_view::npos &&
      parseHintPairs(Body.substr(2, End - 2), Hints))
    Hints.TextWithoutHints = Body.substr(End + 2);
  return Hints;
}

std::shared_ptr<const query_info>
statement_cache::findOrClassify(std::string_view Text) {
  auto Found = Entries.find(Text);
  if (Found != Entries.end()) {
    Recent.splice(Recent.begin(), Recent, Found->second.RecentPosition);
    return Found->second.Info;
  }
  auto Info = std::make_shared<const query_info>(classify(Text));
  if (Text.size() > MaxTextBytes)
    return Info;
  Recent.emplace_front(Text);
  Entries[Recent.front()] = {Info, Recent.begin()};
  if (Entries.size() > MaxEntries) {
    Entries.erase(Recent.back());
    Recent.pop_back();
  }
  return Info;
}

} // namespace teasellock
