#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace teasellock::stand_in {

/// What a token is.
enum class token_kind { Word, Text, Number, Parameter, Symbol, End };

/// One token of a statement. Words outside double quotes are in lower case.
struct token {
  token_kind Kind = token_kind::End;
  std::string Text;
};

/// Cuts SQL into tokens, skipping comments; ends with one End token. Throws
/// sql_error 42601 on an unterminated quote or comment.
std::vector<token> tokenize(std::string_view Sql);

} // namespace teasellock::stand_in
