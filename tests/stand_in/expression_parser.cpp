#include "tests/stand_in/expression_parser.h"

#include <cstdlib>

namespace teasellock::stand_in {

const token &token_reader::peek(std::size_t Ahead) const {
  std::size_t Index = At + Ahead;
  return Index < Tokens.size() ? Tokens[Index] : Tokens.back();
}

token token_reader::consume() {
  token Taken = peek();
  if (At + 1 < Tokens.size())
    ++At;
  return Taken;
}

bool token_reader::isWord(std::string_view Word, std::size_t Ahead) const {
  const token &Token = peek(Ahead);
  return Token.Kind == token_kind::Word && Token.Text == Word;
}

bool token_reader::isSymbol(std::string_view Symbol) const {
  return peek().Kind == token_kind::Symbol && peek().Text == Symbol;
}

bool token_reader::acceptWord(std::string_view Word) {
  if (!isWord(Word))
    return false;
  consume();
  return true;
}

bool token_reader::acceptSymbol(std::string_view Symbol) {
  if (!isSymbol(Symbol))
    return false;
  consume();
  return true;
}

void token_reader::expectWord(std::string_view Word) {
  if (!acceptWord(Word))
    throwSyntaxError();
}

void token_reader::expectSymbol(std::string_view Symbol) {
  if (!acceptSymbol(Symbol))
    throwSyntaxError();
}

std::string token_reader::expectName() {
  if (peek().Kind != token_kind::Word)
    throwSyntaxError();
  std::string Name = consume().Text;
  while (acceptSymbol(".")) {
    if (peek().Kind != token_kind::Word)
      throwSyntaxError();
    Name = consume().Text;
  }
  return Name;
}

void token_reader::throwSyntaxError() const {
  if (peek().Kind == token_kind::End)
    throw sql_error("42601", "syntax error at end of input");
  throw sql_error("42601", "syntax error at or near \"" + peek().Text + "\"");
}

namespace {

expression literal(value Value) {
  expression Result;
  Result.Literal = std::move(Value);
  return Result;
}

expression binary(std::string Operator, expression Left, expression Right) {
  expression Result;
  Result.Kind = expression_kind::Binary;
  Result.Name = std::move(Operator);
  Result.Arguments.push_back(std::move(Left));
  Result.Arguments.push_back(std::move(Right));
  return Result;
}

expression negated(expression Inner) {
  expression Result;
  Result.Kind = expression_kind::Not;
  Result.Arguments.push_back(std::move(Inner));
  return Result;
}

expression parseCase(token_reader &Reader) {
  expression Result;
  Result.Kind = expression_kind::Case;
  while (Reader.acceptWord("when")) {
    Result.Arguments.push_back(parseExpression(Reader));
    Reader.expectWord("then");
    Result.Arguments.push_back(parseExpression(Reader));
  }
  if (Result.Arguments.empty())
    Reader.throwSyntaxError();
  if (Reader.acceptWord("else"))
    Result.Arguments.push_back(parseExpression(Reader));
  else
    Result.Arguments.push_back(literal({}));
  Reader.expectWord("end");
  return Result;
}

expression parseCall(token_reader &Reader, std::string Name) {
  expression Result;
  Result.Kind = expression_kind::Call;
  Result.Name = std::move(Name);
  Reader.expectSymbol("(");
  if (Reader.acceptSymbol(")"))
    return Result;
  if (Reader.acceptSymbol("*")) {
    Reader.expectSymbol(")");
    return Result;
  }
  do
    Result.Arguments.push_back(parseExpression(Reader));
  while (Reader.acceptSymbol(","));
  Reader.expectSymbol(")");
  return Result;
}

expression parseWord(token_reader &Reader) {
  if (Reader.acceptWord("case"))
    return parseCase(Reader);
  if (Reader.acceptWord("null"))
    return literal({});
  if (Reader.acceptWord("true"))
    return literal(true);
  if (Reader.acceptWord("false"))
    return literal(false);
  std::string Name = Reader.expectName();
  if (Reader.isSymbol("("))
    return parseCall(Reader, std::move(Name));
  expression Result;
  Result.Kind = expression_kind::Column;
  Result.Name = std::move(Name);
  return Result;
}

expression parseNumber(token_reader &Reader) {
  std::string Text = Reader.consume().Text;
  // Fractions occur only as arguments of functions that parse texts.
  if (Text.find('.') != std::string::npos)
    return literal(Text);
  return literal(fromText(sql_type::Bigint, Text));
}

expression parsePrimary(token_reader &Reader) {
  const token &Token = Reader.peek();
  switch (Token.Kind) {
  case token_kind::Text:
    return literal(Reader.consume().Text);
  case token_kind::Number:
    return parseNumber(Reader);
  case token_kind::Parameter: {
    expression Result;
    Result.Kind = expression_kind::Parameter;
    Result.Parameter = std::atoi(Reader.consume().Text.c_str());
    return Result;
  }
  case token_kind::Word:
    return parseWord(Reader);
  default:
    break;
  }
  if (Reader.acceptSymbol("-"))
    return binary("-", literal(std::int64_t(0)), parsePrimary(Reader));
  Reader.expectSymbol("(");
  expression Inner = parseExpression(Reader);
  Reader.expectSymbol(")");
  return Inner;
}

expression parseCasted(token_reader &Reader) {
  expression Result = parsePrimary(Reader);
  while (Reader.acceptSymbol("::"))
    Result.Cast = parseType(Reader);
  return Result;
}

expression parseSum(token_reader &Reader) {
  expression Result = parseCasted(Reader);
  while (Reader.isSymbol("+") || Reader.isSymbol("-") ||
         Reader.isSymbol("||")) {
    std::string Operator = Reader.consume().Text;
    Result = binary(Operator, std::move(Result), parseCasted(Reader));
  }
  return Result;
}

expression parseIn(token_reader &Reader, expression Left) {
  expression Result;
  Result.Kind = expression_kind::In;
  Result.Arguments.push_back(std::move(Left));
  Reader.expectSymbol("(");
  do
    Result.Arguments.push_back(parseExpression(Reader));
  while (Reader.acceptSymbol(","));
  Reader.expectSymbol(")");
  return Result;
}

expression parseIsNull(token_reader &Reader, expression Left) {
  bool Negated = Reader.acceptWord("not");
  Reader.expectWord("null");
  expression Result;
  Result.Kind = expression_kind::IsNull;
  Result.Arguments.push_back(std::move(Left));
  return Negated ? negated(std::move(Result)) : Result;
}

bool isComparison(const token &Token) {
  return Token.Kind == token_kind::Symbol &&
         (Token.Text == "=" || Token.Text == "<>" || Token.Text == "!=" ||
          Token.Text == "<" || Token.Text == ">" || Token.Text == "<=" ||
          Token.Text == ">=");
}

expression parseComparison(token_reader &Reader) {
  expression Left = parseSum(Reader);
  if (isComparison(Reader.peek())) {
    std::string Operator = Reader.consume().Text;
    return binary(Operator, std::move(Left), parseSum(Reader));
  }
  if (Reader.acceptWord("is"))
    return parseIsNull(Reader, std::move(Left));
  bool Negated = Reader.isWord("not") &&
                 (Reader.isWord("like", 1) || Reader.isWord("in", 1));
  if (Negated)
    Reader.consume();
  if (Reader.acceptWord("like"))
    Left = binary("like", std::move(Left), parseSum(Reader));
  else if (Reader.acceptWord("in"))
    Left = parseIn(Reader, std::move(Left));
  return Negated ? negated(std::move(Left)) : Left;
}

expression parseNot(token_reader &Reader) {
  if (Reader.acceptWord("not"))
    return negated(parseNot(Reader));
  return parseComparison(Reader);
}

expression parseAnd(token_reader &Reader) {
  expression Result = parseNot(Reader);
  while (Reader.acceptWord("and"))
    Result = binary("and", std::move(Result), parseNot(Reader));
  return Result;
}

constexpr int MaximumDepth = 200;

} // namespace

expression parseExpression(token_reader &Reader) {
  static int Depth = 0;
  struct depth_guard {
    depth_guard() { ++Depth; }
    ~depth_guard() { --Depth; }
  } Guard;
  if (Depth > MaximumDepth)
    throw sql_error("54001", "the expression is nested too deeply");
  expression Result = parseAnd(Reader);
  while (Reader.acceptWord("or"))
    Result = binary("or", std::move(Result), parseAnd(Reader));
  return Result;
}

sql_type parseType(token_reader &Reader) {
  std::string Name = Reader.expectName();
  if (Name == "timestamp") {
    if (Reader.acceptWord("with") || Reader.acceptWord("without")) {
      Reader.expectWord("time");
      Reader.expectWord("zone");
    }
    return sql_type::Timestamptz;
  }
  if (Reader.acceptSymbol("(")) {
    Reader.consume();
    Reader.expectSymbol(")");
  }
  return typeOfName(Name);
}

} // namespace teasellock::stand_in
