/// Classifies SQL statements by their possible effects, with PostgreSQL's own
/// parser (libpg_query).
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

/// The class of one statement; decides where it is executed and whether a
/// replica may serve it.
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
  /// Would leave state on an upstream connection, which callers share.
  Unsupported,
};

/// Returns the class's name in metrics. Some classes share a name.
const char *toString(statement_class Class);

/// One setting that a SET changes, as arguments of set_config().
struct setting_change {
  std::string Name;
  /// Unset: the setting returns to its default.
  std::optional<std::string> Value;
};

/// One statement of a query text.
struct statement_info {
  statement_class Class = statement_class::Write;
  /// SET: the settings that change.
  std::vector<setting_change> Settings;
  /// SET LOCAL: valid until the end of the transaction.
  bool IsLocal = false;
  /// SET, SHOW, RESET and DEALLOCATE: the name; empty for ALL. DISCARD: the
  /// parser's name of its target, such as DISCARD_ALL.
  std::string Name;
  /// Unsupported: the feature, for the error message.
  std::string Feature;
};

/// Options of one statement that the caller passes in an SQL comment, in
/// sqlcommenter's format. A comment may set read_kind, idempotency_key and
/// traceparent.
struct statement_hints {
  std::optional<std::string> ReadKind;
  std::string IdempotencyKey;
  std::string TraceParent;
  /// The text without that comment, for classification. Refers to the text
  /// passed to parseHints().
  std::string_view TextWithoutHints;
};

/// The statements of one query text.
struct query_info {
  std::vector<statement_info> Statements;
  /// The parser rejected the text; the upstream reports the error. Statements
  /// then contains one write.
  bool Unparsed = false;

  /// Reports whether no statement writes or changes the session.
  bool isReadOnly() const;
  /// Reports whether any statement has this class.
  bool contains(statement_class Class) const;
};

/// Parses and classifies a query text. Never throws.
query_info classify(std::string_view Text);

/// Parses the URL-encoded key='value' pairs of a comment at the start or end of
/// a query text.
statement_hints parseHints(std::string_view Text);

/// An LRU cache of classified query texts.
class statement_cache {
public:
  /// MaxEntries: the maximum number of texts. MaxTextBytes: the maximum length
  /// in bytes of a cached text; longer texts are classified each time.
  explicit statement_cache(std::size_t MaxEntries,
                           std::size_t MaxTextBytes = 4096)
      : MaxEntries(MaxEntries), MaxTextBytes(MaxTextBytes) {}

  /// Returns the classification of a text, from the cache if possible.
  std::shared_ptr<const query_info> findOrClassify(std::string_view Text);

private:
  struct entry {
    std::shared_ptr<const query_info> Info;
    std::list<std::string>::iterator RecentPosition;
  };

  std::size_t MaxEntries;
  std::size_t MaxTextBytes;
  // The keys refer to the texts in Recent, which are ordered by last use.
  std::unordered_map<std::string_view, entry> Entries;
  std::list<std::string> Recent;
};

} // namespace teasellock
