#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace teasellock::stand_in {

/// The kind of a token.
enum class token_kind { Word, Text, Number, Parameter, Symbol, End };

/// One token of a statement. Words outside double quotes are in lower case.
struct token {
  token_kind Kind = token_kind::End;
  std::string Text;
};

/// Splits SQL into tokens and skips comments. The last token is End. Throws
/// sql_error 42601 on an unterminated quote or comment.
std::vector<token> tokenize(std::string_view Sql);

} // namespace teasellock::stand_in
