#include "tests/stand_in/expression_parser.h"
#include "tests/stand_in/statement.h"

namespace teasellock::stand_in {

namespace {

std::string defaultColumnName(const expression &Value) {
  if (Value.Kind == expression_kind::Column ||
      Value.Kind == expression_kind::Call)
    return Value.Name;
  return Value.Kind == expression_kind::Case ? "case" : "?column?";
}

bool isClauseWord(const token_reader &Reader) {
  static constexpr std::string_view Words[] = {
      "from", "where", "order", "limit", "for", "returning", "on", "union"};
  for (std::string_view Word : Words)
    if (Reader.isWord(Word))
      return true;
  return false;
}

std::vector<select_item> parseOutputs(token_reader &Reader) {
  std::vector<select_item> Outputs;
  do {
    select_item Output;
    if (Reader.acceptSymbol("*")) {
      Output.IsStar = true;
    } else {
      Output.Value = parseExpression(Reader);
      Output.Name = defaultColumnName(Output.Value);
      if (Reader.acceptWord("as"))
        Output.Name = Reader.expectName();
      else if (Reader.peek().Kind == token_kind::Word && !isClauseWord(Reader))
        Output.Name = Reader.expectName();
    }
    Outputs.push_back(std::move(Output));
  } while (Reader.acceptSymbol(","));
  return Outputs;
}

void parseWhere(token_reader &Reader, statement &Statement) {
  if (Reader.acceptWord("where"))
    Statement.Where = parseExpression(Reader);
}

void parseReturning(token_reader &Reader, statement &Statement) {
  if (Reader.acceptWord("returning"))
    Statement.Outputs = parseOutputs(Reader);
}

statement parseSelect(token_reader &Reader) {
  statement Statement;
  Statement.Kind = statement_kind::Select;
  Statement.Outputs = parseOutputs(Reader);
  if (Reader.acceptWord("from"))
    Statement.Name = Reader.expectName();
  parseWhere(Reader, Statement);
  if (Reader.acceptWord("order")) {
    Reader.expectWord("by");
    Statement.OrderBy = Reader.expectName();
    Statement.Descending = Reader.acceptWord("desc");
    if (!Statement.Descending)
      Reader.acceptWord("asc");
  }
  if (Reader.acceptWord("limit"))
    Statement.Limit = parseExpression(Reader);
  if (Reader.acceptWord("for")) {
    Reader.expectWord("update");
    Statement.ForUpdate = true;
  }
  return Statement;
}

std::vector<std::string> parseNames(token_reader &Reader) {
  std::vector<std::string> Names;
  Reader.expectSymbol("(");
  do
    Names.push_back(Reader.expectName());
  while (Reader.acceptSymbol(","));
  Reader.expectSymbol(")");
  return Names;
}

std::vector<expression> parseRow(token_reader &Reader) {
  std::vector<expression> Row;
  Reader.expectSymbol("(");
  do
    Row.push_back(parseExpression(Reader));
  while (Reader.acceptSymbol(","));
  Reader.expectSymbol(")");
  return Row;
}

statement parseInsert(token_reader &Reader) {
  statement Statement;
  Statement.Kind = statement_kind::Insert;
  Reader.expectWord("into");
  Statement.Name = Reader.expectName();
  if (Reader.isSymbol("("))
    Statement.InsertColumns = parseNames(Reader);
  Reader.expectWord("values");
  do
    Statement.Rows.push_back(parseRow(Reader));
  while (Reader.acceptSymbol(","));
  if (Reader.acceptWord("on")) {
    Reader.expectWord("conflict");
    if (Reader.isSymbol("("))
      parseNames(Reader);
    Reader.expectWord("do");
    Reader.expectWord("nothing");
    Statement.OnConflictDoNothing = true;
  }
  parseReturning(Reader, Statement);
  return Statement;
}

statement parseUpdate(token_reader &Reader) {
  statement Statement;
  Statement.Kind = statement_kind::Update;
  Statement.Name = Reader.expectName();
  Reader.expectWord("set");
  do {
    assignment Assignment;
    Assignment.Column = Reader.expectName();
    Reader.expectSymbol("=");
    Assignment.Value = parseExpression(Reader);
    Statement.Assignments.push_back(std::move(Assignment));
  } while (Reader.acceptSymbol(","));
  parseWhere(Reader, Statement);
  parseReturning(Reader, Statement);
  return Statement;
}

statement parseDelete(token_reader &Reader) {
  statement Statement;
  Statement.Kind = statement_kind::Delete;
  Reader.expectWord("from");
  Statement.Name = Reader.expectName();
  parseWhere(Reader, Statement);
  parseReturning(Reader, Statement);
  return Statement;
}

void parseColumn(token_reader &Reader, statement &Statement) {
  if (Reader.acceptWord("primary")) {
    Reader.expectWord("key");
    std::vector<std::string> Names = parseNames(Reader);
    if (Names.size() != 1)
      throw sql_error("0A000", "a primary key has one column here");
    Statement.PrimaryKey = Names.front();
    return;
  }
  column Column;
  Column.Name = Reader.expectName();
  Column.Type = parseType(Reader);
  while (Reader.peek().Kind == token_kind::Word) {
    if (Reader.acceptWord("primary")) {
      Reader.expectWord("key");
      Statement.PrimaryKey = Column.Name;
    } else {
      Reader.expectWord("not");
      Reader.expectWord("null");
    }
  }
  Statement.Columns.push_back(std::move(Column));
}

statement parseCreate(token_reader &Reader) {
  statement Statement;
  Statement.Kind = statement_kind::CreateTable;
  Reader.expectWord("table");
  if (Reader.acceptWord("if")) {
    Reader.expectWord("not");
    Reader.expectWord("exists");
    Statement.IfExists = true;
  }
  Statement.Name = Reader.expectName();
  Reader.expectSymbol("(");
  do
    parseColumn(Reader, Statement);
  while (Reader.acceptSymbol(","));
  Reader.expectSymbol(")");
  return Statement;
}

statement parseDrop(token_reader &Reader) {
  statement Statement;
  Statement.Kind = statement_kind::DropTable;
  Reader.expectWord("table");
  if (Reader.acceptWord("if")) {
    Reader.expectWord("exists");
    Statement.IfExists = true;
  }
  Statement.Name = Reader.expectName();
  return Statement;
}

std::string parseSettingName(token_reader &Reader) {
  if (Reader.peek().Kind != token_kind::Word)
    Reader.throwSyntaxError();
  std::string Name = Reader.consume().Text;
  while (Reader.acceptSymbol("."))
    Name += "." + Reader.consume().Text;
  return Name;
}

std::string parseSettingValue(token_reader &Reader) {
  if (!Reader.acceptSymbol("=") && !Reader.acceptWord("to"))
    Reader.throwSyntaxError();
  std::string Text = Reader.acceptSymbol("-") ? "-" : "";
  if (Reader.peek().Kind == token_kind::End ||
      Reader.peek().Kind == token_kind::Symbol)
    Reader.throwSyntaxError();
  Text += Reader.consume().Text;
  while (Reader.acceptSymbol(","))
    Text += ", " + Reader.consume().Text;
  return Text;
}

statement parseSet(token_reader &Reader) {
  statement Statement;
  Statement.Kind = statement_kind::Set;
  if (!Reader.acceptWord("session"))
    Reader.acceptWord("local");
  if (Reader.acceptWord("transaction") ||
      Reader.acceptWord("characteristics")) {
    while (Reader.peek().Kind == token_kind::Word)
      Reader.consume();
    Statement.Name = "transaction";
    return Statement;
  }
  Statement.Name = parseSettingName(Reader);
  Statement.Text = parseSettingValue(Reader);
  return Statement;
}

statement parseAlter(token_reader &Reader) {
  statement Statement;
  Statement.Kind = statement_kind::AlterSystem;
  Reader.expectWord("system");
  Reader.expectWord("set");
  Statement.Name = parseSettingName(Reader);
  Statement.Text = parseSettingValue(Reader);
  return Statement;
}

statement parseNamed(token_reader &Reader, statement_kind Kind) {
  statement Statement;
  Statement.Kind = Kind;
  Statement.Name = parseSettingName(Reader);
  return Statement;
}

statement parseTransactionControl(token_reader &Reader, statement_kind Kind) {
  statement Statement;
  Statement.Kind = Kind;
  // Isolation levels and access modes are accepted and ignored.
  while (Reader.peek().Kind == token_kind::Word || Reader.isSymbol(","))
    Reader.consume();
  return Statement;
}

statement parseStatement(token_reader &Reader) {
  if (Reader.acceptWord("select"))
    return parseSelect(Reader);
  if (Reader.acceptWord("insert"))
    return parseInsert(Reader);
  if (Reader.acceptWord("update"))
    return parseUpdate(Reader);
  if (Reader.acceptWord("delete"))
    return parseDelete(Reader);
  if (Reader.acceptWord("begin") || Reader.acceptWord("start"))
    return parseTransactionControl(Reader, statement_kind::Begin);
  if (Reader.acceptWord("commit") || Reader.acceptWord("end"))
    return parseTransactionControl(Reader, statement_kind::Commit);
  if (Reader.acceptWord("rollback") || Reader.acceptWord("abort")) {
    if (Reader.isWord("to"))
      throw sql_error("0A000", "savepoints are not supported");
    return parseTransactionControl(Reader, statement_kind::Rollback);
  }
  if (Reader.acceptWord("create"))
    return parseCreate(Reader);
  if (Reader.acceptWord("drop"))
    return parseDrop(Reader);
  if (Reader.acceptWord("set"))
    return parseSet(Reader);
  if (Reader.acceptWord("show"))
    return parseNamed(Reader, statement_kind::Show);
  if (Reader.acceptWord("reset"))
    return parseNamed(Reader, statement_kind::Reset);
  if (Reader.acceptWord("alter"))
    return parseAlter(Reader);
  if (Reader.acceptWord("discard")) {
    Reader.expectWord("all");
    statement Statement;
    Statement.Kind = statement_kind::DiscardAll;
    return Statement;
  }
  if (Reader.acceptWord("deallocate"))
    return parseNamed(Reader, statement_kind::Deallocate);
  Reader.throwSyntaxError();
}

} // namespace

std::vector<statement> parseStatements(std::string_view Sql) {
  token_reader Reader(tokenize(Sql));
  std::vector<statement> Statements;
  while (true) {
    while (Reader.acceptSymbol(";")) {
    }
    if (Reader.peek().Kind == token_kind::End)
      return Statements;
    Statements.push_back(parseStatement(Reader));
    if (!Reader.isSymbol(";") && Reader.peek().Kind != token_kind::End)
      Reader.throwSyntaxError();
  }
}

} // namespace teasellock::stand_in
