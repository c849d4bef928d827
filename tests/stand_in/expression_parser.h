#pragma once

#include "tests/stand_in/statement.h"
#include "tests/stand_in/tokenizer.h"

namespace teasellock::stand_in {

/// Walks over tokens. Shared by the parsers of expressions and statements.
class token_reader {
public:
  explicit token_reader(std::vector<token> Tokens)
      : Tokens(std::move(Tokens)) {}

  /// The token at the given distance.
  const token &peek(std::size_t Ahead = 0) const;

  /// Takes the current token.
  token take();

  /// Whether the current token is this word.
  bool isWord(std::string_view Word, std::size_t Ahead = 0) const;

  /// Whether the current token is this symbol.
  bool isSymbol(std::string_view Symbol) const;

  /// Takes the token if it is this word.
  bool acceptWord(std::string_view Word);

  /// Takes the token if it is this symbol.
  bool acceptSymbol(std::string_view Symbol);

  /// Takes this word or throws 42601.
  void expectWord(std::string_view Word);

  /// Takes this symbol or throws 42601.
  void expectSymbol(std::string_view Symbol);

  /// Takes a name or throws 42601. A schema before it is dropped.
  std::string expectName();

  /// Throws 42601 at the current token.
  [[noreturn]] void fail() const;

private:
  std::vector<token> Tokens;
  std::size_t At = 0;
};

/// Parses one expression.
expression parseExpression(token_reader &Reader);

/// Takes a type's name and its modifiers.
sql_type parseType(token_reader &Reader);

} // namespace teasellock::stand_in
