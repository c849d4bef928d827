#include "tests/stand_in/tokenizer.h"
#include "tests/stand_in/value.h"

#include <cctype>

namespace teasellock::stand_in {

namespace {

bool isWordStart(char Char) {
  return std::isalpha(static_cast<unsigned char>(Char)) || Char == '_' ||
         (Char & 0x80);
}

bool isWordPart(char Char) {
  return isWordStart(Char) || std::isdigit(static_cast<unsigned char>(Char)) ||
         Char == '$';
}

bool isDigit(char Char) {
  return std::isdigit(static_cast<unsigned char>(Char));
}

class scanner {
public:
  explicit scanner(std::string_view Sql) : Sql(Sql) {}

  std::vector<token> run() {
    std::vector<token> Tokens;
    Tokens.reserve(32);
    skipBlanks();
    while (At < Sql.size()) {
      Tokens.push_back(next());
      skipBlanks();
    }
    Tokens.push_back({});
    return Tokens;
  }

private:
  char peek(std::size_t Ahead = 0) const {
    return At + Ahead < Sql.size() ? Sql[At + Ahead] : '\0';
  }

  void skipBlanks() {
    while (At < Sql.size()) {
      if (std::isspace(static_cast<unsigned char>(Sql[At])))
        ++At;
      else if (peek() == '-' && peek(1) == '-')
        skipLine();
      else if (peek() == '/' && peek(1) == '*')
        skipComment();
      else
        return;
    }
  }

  void skipLine() {
    while (At < Sql.size() && Sql[At] != '\n')
      ++At;
  }

  void skipComment() {
    int Depth = 0;
    do {
      if (At >= Sql.size())
        throw sql_error("42601", "unterminated /* comment");
      if (peek() == '/' && peek(1) == '*') {
        ++Depth;
        At += 2;
      } else if (peek() == '*' && peek(1) == '/') {
        --Depth;
        At += 2;
      } else {
        ++At;
      }
    } while (Depth > 0);
  }

  token next() {
    char Char = peek();
    if (Char == '\'')
      return {token_kind::Text, quoted('\'')};
    if (Char == '"')
      return {token_kind::Word, quoted('"')};
    if (isWordStart(Char))
      return word();
    if (isDigit(Char) || (Char == '.' && isDigit(peek(1))))
      return number();
    if (Char == '$' && isDigit(peek(1)))
      return parameter();
    return symbol();
  }

  std::string quoted(char Quote) {
    std::string Text;
    for (++At; At < Sql.size(); ++At) {
      if (Sql[At] != Quote) {
        Text.push_back(Sql[At]);
      } else if (peek(1) == Quote) {
        Text.push_back(Quote);
        ++At;
      } else {
        ++At;
        return Text;
      }
    }
    throw sql_error("42601", "unterminated quoted string");
  }

  token word() {
    token Token{token_kind::Word, {}};
    for (; isWordPart(peek()); ++At)
      Token.Text.push_back(
          static_cast<char>(std::tolower(static_cast<unsigned char>(Sql[At]))));
    return Token;
  }

  token number() {
    token Token{token_kind::Number, {}};
    for (; isDigit(peek()) || peek() == '.'; ++At)
      Token.Text.push_back(Sql[At]);
    return Token;
  }

  token parameter() {
    token Token{token_kind::Parameter, {}};
    for (++At; isDigit(peek()); ++At)
      Token.Text.push_back(Sql[At]);
    return Token;
  }

  token symbol() {
    static constexpr std::string_view Pairs[] = {
        "::", "<>", "!=", "<=", ">=", "||"};
    for (std::string_view Pair : Pairs) {
      if (Sql.substr(At, 2) == Pair) {
        At += 2;
        return {token_kind::Symbol, std::string(Pair)};
      }
    }
    return {token_kind::Symbol, std::string(1, Sql[At++])};
  }

  std::string_view Sql;
  std::size_t At = 0;
};

} // namespace

std::vector<token> tokenize(std::string_view Sql) { return scanner(Sql).run(); }

} // namespace teasellock::stand_in
