/// What a statement's text may do, found by PostgreSQL's own parser.
#pragma once

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace teasellock {

/// The class of one statement.
enum class statement_class {
  Read,
  Write,
  Begin,
  BeginReadOnly,
  /// COMMIT and PREPARE TRANSACTION.
  Commit,
  Rollback,
  Set,
  Reset,
  Show,
  Discard,
  Deallocate,
  Copy,
  /// Leaves state on a connection that callers share.
  Unsupported,
};

/// The class's name in metrics.
const char *toString(statement_class Class);

/// One setting that a SET changes, in the form set_config() takes.
struct setting_change {
  std::string Name;
  /// Nothing: back to its default.
  std::optional<std::string> Value;
};

/// One statement of a text.
struct statement_info {
  statement_class Class = statement_class::Write;
  /// SET and RESET: what changes. Empty for RESET ALL.
  std::vector<setting_change> Settings;
  /// SET LOCAL: over with the transaction.
  bool Local = false;
  /// SHOW, RESET and DEALLOCATE: the name; empty for ALL.
  std::string Name;
  /// Unsupported: what is not supported.
  std::string Feature;
};

/// What a comment of the caller's asks for one statement, in sqlcommenter's
/// format.
struct statement_hints {
  std::optional<std::string> ReadKind;
  std::string IdempotencyKey;
  std::string TraceParent;
  /// The text without that comment, for classification.
  std::string_view Core;
};

/// All statements of one text.
struct text_info {
  std::vector<statement_info> Statements;
  /// The parser refused the text; the upstream gives its own error.
  bool Unparsed = false;

  /// Whether all statements only read.
  bool reads() const;
  /// Whether any statement has this class.
  bool contains(statement_class Class) const;
};

/// Classifies a text. Never throws.
text_info classify(std::string_view Text);

/// Reads the key='value' pairs, URL-encoded, of a comment at the start or end
/// of a text.
statement_hints parseHints(std::string_view Text);

/// Classified texts, the least recently used dropped first.
class statement_cache {
public:
  /// LargestText: longer texts are classified each time.
  explicit statement_cache(std::size_t MostEntries,
                           std::size_t LargestText = 4096)
      : MostEntries(MostEntries), LargestText(LargestText) {}

  std::shared_ptr<const text_info> find(std::string_view Text);

private:
  struct entry {
    std::shared_ptr<const text_info> Info;
    std::list<std::string>::iterator Place;
  };

  std::size_t MostEntries;
  std::size_t LargestText;
  // Keys view the texts in Recent.
  std::unordered_map<std::string_view, entry> Entries;
  std::list<std::string> Recent;
};

} // namespace teasellock
