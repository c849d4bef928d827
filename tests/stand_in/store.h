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

/// A table's columns, and the index of the primary key column (-1: none).
struct table_layout {
  std::vector<std::string> Names;
  std::vector<sql_type> Types;
  int KeyColumn = -1;

  /// Returns the index of a column, or -1.
  int indexOf(std::string_view Name) const;
};

/// A table with its committed rows by primary key.
struct table {
  table_layout Layout;
  std::unordered_map<std::string, row> Rows;
};

/// One change of a transaction to the tables.
struct change {
  enum class kind : std::uint8_t { Put, Erase, Create, Drop };

  kind Kind = kind::Put;
  std::string Table;
  std::string Key;
  row Row;
  table_layout Layout; // of Create
};

/// A committed transaction in the log. Replicas receive its Bytes.
struct log_record {
  std::string Bytes;
  std::uint64_t End = 0;      // byte offset of the record's end
  std::uint64_t Term = 0;     // value of teasellock_term once applied
  std::uint64_t Checksum = 0; // checksum of this record and all before it
};

/// The changes and locks of an open transaction.
struct transaction {
  std::uint32_t Owner = 0;
  std::vector<change> Changes;
  /// Maps table and key to the index of the latest change of that row.
  std::unordered_map<std::string, std::size_t> Newest;
  std::vector<std::string> Locks;
};

/// Returns a key of a row that is unique across tables.
std::string qualifiedRowKey(std::string_view Table, std::string_view Key);

/// The tables of one upstream, the log of their committed changes, and the row
/// locks. Starts with predefined, empty tables and an empty log.
class store {
public:
  store();

  /// Returns a table, or null.
  const table *find(const std::string &Name) const;

  /// Returns the row as visible to the transaction, or null.
  const row *read(const transaction &Transaction, const std::string &Table,
                  const std::string &Key) const;

  /// Acquires a row lock. Returns its owner if another transaction holds it.
  std::optional<std::uint32_t> lock(transaction &Transaction,
                                    const std::string &Table,
                                    const std::string &Key);

  /// Adds a change to the transaction's uncommitted changes.
  void addChange(transaction &Transaction, change Change) const;

  /// Logs and applies the changes and releases the locks. Returns whether a
  /// record was logged.
  bool commit(transaction &Transaction);

  /// Discards the changes and releases the locks.
  void rollback(transaction &Transaction);

  /// Applies a record received from the primary. Throws sql_error if it is
  /// malformed.
  void applyRecord(std::string Bytes);

  /// Truncates the log to this many records and rebuilds the tables.
  void truncate(std::size_t Records);

  const std::vector<log_record> &log() const { return Log; }

  /// Returns the byte offset of the log's end.
  std::uint64_t endOffset() const { return Log.empty() ? 0 : Log.back().End; }

  /// Returns the checksum of the whole log.
  std::uint64_t checksum() const {
    return Log.empty() ? 0 : Log.back().Checksum;
  }

  /// Returns the value stored in the table teasellock_term.
  std::uint64_t term() const;

  /// Returns a new key for a row of a table without a primary key.
  std::string newRowKey();

private:
  void createInitialTables();
  void apply(std::vector<change> Changes);
  void append(std::string Bytes);
  void releaseLocks(transaction &Transaction);

  std::map<std::string, table, std::less<>> Tables;
  std::vector<log_record> Log;
  std::unordered_map<std::string, std::uint32_t> Locks;
  std::uint64_t LastRowKey = 0;
};

/// Encodes changes as a log record.
std::string encodeChanges(const std::vector<change> &Changes);

/// Decodes a log record of encodeChanges(). Throws sql_error XX001 on malformed
/// bytes.
std::vector<change> decodeChanges(std::string_view Bytes);

} // namespace teasellock::stand_in
