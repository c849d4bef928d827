#pragma once

#include "tests/stand_in/value.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace teasellock::stand_in {

/// A table's columns and which of them is the primary key (-1: none).
struct table_layout {
  std::vector<std::string> Names;
  std::vector<sql_type> Types;
  int KeyColumn = -1;

  /// The index of a column, or -1.
  int indexOf(std::string_view Name) const;
};

/// A table with its committed rows by primary key.
struct table {
  table_layout Layout;
  std::unordered_map<std::string, row> Rows;
};

/// One effect of a transaction on the tables.
struct change {
  enum class kind : std::uint8_t { Put, Erase, Create, Drop };

  kind Kind = kind::Put;
  std::string Table;
  std::string Key;
  row Row;
  table_layout Layout; // of Create
};

/// A committed transaction as the log and the replicas hold it.
struct log_record {
  std::string Bytes;
  std::uint64_t End = 0;   // byte offset behind this record
  std::uint64_t Term = 0;  // value of teasellock_term once applied
  std::uint64_t Chain = 0; // checksum of this record and all before it
};

/// The effects of a transaction that is still open.
struct transaction {
  std::uint32_t Owner = 0;
  std::vector<change> Changes;
  /// From table and key to the newest change of that row.
  std::unordered_map<std::string, std::size_t> Newest;
  std::vector<std::string> Locks;
};

/// The text that names a row across tables.
std::string rowName(std::string_view Table, std::string_view Key);

/// The tables of one upstream, the log that led to them and the row locks.
/// Starts with the preloaded, empty tables and an empty log.
class store {
public:
  store();

  /// A table or null.
  const table *find(const std::string &Name) const;

  /// The row as this transaction sees it, or null.
  const row *read(const transaction &Transaction, const std::string &Table,
                  const std::string &Key) const;

  /// Takes a row's lock. Returns the owner that holds it if another does.
  std::optional<std::uint32_t> lock(transaction &Transaction,
                                    const std::string &Table,
                                    const std::string &Key);

  /// Adds a change to the transaction.
  void buffer(transaction &Transaction, change Change) const;

  /// Logs and applies the changes and frees the locks. Returns whether a
  /// record was logged.
  bool commit(transaction &Transaction);

  /// Forgets the changes and frees the locks.
  void rollback(transaction &Transaction);

  /// Applies a record that came from the primary. Throws sql_error when it is
  /// malformed.
  void applyRecord(std::string Bytes);

  /// Cuts the log to so many records and rebuilds the tables.
  void truncate(std::size_t Records);

  /// The log.
  const std::vector<log_record> &log() const { return Log; }

  /// The byte offset of the log's end.
  std::uint64_t endOffset() const { return Log.empty() ? 0 : Log.back().End; }

  /// The checksum of the whole log.
  std::uint64_t chain() const { return Log.empty() ? 0 : Log.back().Chain; }

  /// The value of teasellock_term.
  std::uint64_t term() const;

  /// A key for a row of a table without a primary key.
  std::string newRowKey();

private:
  void preload();
  void apply(std::vector<change> Changes);
  void append(std::string Bytes);
  void unlock(transaction &Transaction);

  std::map<std::string, table, std::less<>> Tables;
  std::vector<log_record> Log;
  std::unordered_map<std::string, std::uint32_t> Locks;
  std::uint64_t LastRowKey = 0;
};

/// The log record of some changes.
std::string encodeChanges(const std::vector<change> &Changes);

/// Reads encodeChanges. Throws sql_error XX001 on malformed bytes.
std::vector<change> decodeChanges(std::string_view Bytes);

} // namespace teasellock::stand_in
