#pragma once

#include "tests/stand_in/statement.h"
#include "tests/stand_in/tokenizer.h"

namespace teasellock::stand_in {

/// A cursor over tokens, shared by the parsers of expressions and statements.
class token_reader {
public:
  explicit token_reader(std::vector<token> Tokens)
      : Tokens(std::move(Tokens)) {}

  /// Returns the token at this distance from the current one.
  const token &peek(std::size_t Ahead = 0) const;

  /// Returns the current token and advances.
  token consume();

  /// Reports whether the token at this distance is the word.
  bool isWord(std::string_view Word, std::size_t Ahead = 0) const;

  /// Reports whether the current token is the symbol.
  bool isSymbol(std::string_view Symbol) const;

  /// Consumes the current token if it is the word, and reports whether it was.
  bool acceptWord(std::string_view Word);

  /// Consumes the current token if it is the symbol, and reports whether it
  /// was.
  bool acceptSymbol(std::string_view Symbol);

  /// Consumes the word or throws sql_error 42601.
  void expectWord(std::string_view Word);

  /// Consumes the symbol or throws sql_error 42601.
  void expectSymbol(std::string_view Symbol);

  /// Consumes a name or throws sql_error 42601. A schema prefix is ignored.
  std::string expectName();

  /// Throws sql_error 42601 at the current token.
  [[noreturn]] void throwSyntaxError() const;

private:
  std::vector<token> Tokens;
  std::size_t At = 0;
};

/// Parses one expression.
expression parseExpression(token_reader &Reader);

/// Parses a type name and its modifiers.
sql_type parseType(token_reader &Reader);

} // namespace teasellock::stand_in
