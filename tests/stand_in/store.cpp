#include "tests/stand_in/store.h"

#include <algorithm>

namespace teasellock::stand_in {

namespace {

constexpr const char *TermTable = "teasellock_term";
constexpr const char *TermKey = "term";

// FNV-1a, continued from the checksum of all previous records.
std::uint64_t extendChecksum(std::uint64_t Before, std::string_view Bytes) {
  constexpr std::uint64_t OffsetBasis = 14695981039346656037ULL;
  constexpr std::uint64_t Prime = 1099511628211ULL;
  std::uint64_t Hash = OffsetBasis ^ Before;
  for (char Byte : Bytes)
    Hash = (Hash ^ static_cast<std::uint8_t>(Byte)) * Prime;
  return Hash;
}

table makeTable(std::vector<std::string> Names, std::vector<sql_type> Types,
                int KeyColumn) {
  table Table;
  Table.Layout = {std::move(Names), std::move(Types), KeyColumn};
  return Table;
}

} // namespace

int table_layout::indexOf(std::string_view Name) const {
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    if (Names[Index] == Name)
      return static_cast<int>(Index);
  return -1;
}

std::string qualifiedRowKey(std::string_view Table, std::string_view Key) {
  std::string Name;
  Name.reserve(Table.size() + 1 + Key.size());
  Name.append(Table).push_back('\0');
  return Name.append(Key);
}

store::store() { createInitialTables(); }

void store::createInitialTables() {
  using enum sql_type;
  Tables.clear();
  Tables[TermTable] = makeTable({"term"}, {Bigint}, -1);
  Tables[TermTable].Rows[TermKey] = {std::int64_t(0)};
  Tables["teasellock_idempotency"] =
      makeTable({"key", "outcome"}, {Text, Text}, 0);
  Tables["bookings"] = makeTable({"id", "rider", "place", "caller", "created"},
                                 {Text, Text, Text, Text, Bigint}, 0);
  Tables["orders"] = makeTable({"id", "hut", "items"}, {Text, Text, Bigint}, 0);
  Tables["stock"] = makeTable({"item", "amount"}, {Text, Bigint}, 0);
}

const table *store::find(const std::string &Name) const {
  auto Found = Tables.find(Name);
  return Found == Tables.end() ? nullptr : &Found->second;
}

const row *store::read(const transaction &Transaction, const std::string &Table,
                       const std::string &Key) const {
  if (!Transaction.Newest.empty()) {
    auto Own = Transaction.Newest.find(qualifiedRowKey(Table, Key));
    if (Own != Transaction.Newest.end()) {
      const change &Change = Transaction.Changes[Own->second];
      return Change.Kind == change::kind::Put ? &Change.Row : nullptr;
    }
  }
  const table *Found = find(Table);
  if (!Found)
    return nullptr;
  auto Row = Found->Rows.find(Key);
  return Row == Found->Rows.end() ? nullptr : &Row->second;
}

std::optional<std::uint32_t> store::lock(transaction &Transaction,
                                         const std::string &Table,
                                         const std::string &Key) {
  std::string Name = qualifiedRowKey(Table, Key);
  auto [Entry, IsNew] = Locks.try_emplace(Name, Transaction.Owner);
  if (!IsNew && Entry->second != Transaction.Owner)
    return Entry->second;
  if (IsNew)
    Transaction.Locks.push_back(std::move(Name));
  return std::nullopt;
}

void store::addChange(transaction &Transaction, change Change) const {
  Transaction.Newest[qualifiedRowKey(Change.Table, Change.Key)] =
      Transaction.Changes.size();
  Transaction.Changes.push_back(std::move(Change));
}

bool store::commit(transaction &Transaction) {
  bool Logged = !Transaction.Changes.empty();
  if (Logged) {
    std::string Bytes = encodeChanges(Transaction.Changes);
    apply(std::move(Transaction.Changes));
    append(std::move(Bytes));
  }
  releaseLocks(Transaction);
  return Logged;
}

void store::rollback(transaction &Transaction) { releaseLocks(Transaction); }

void store::releaseLocks(transaction &Transaction) {
  for (const std::string &Name : Transaction.Locks)
    Locks.erase(Name);
  Transaction.Locks.clear();
  Transaction.Changes.clear();
  Transaction.Newest.clear();
}

void store::apply(std::vector<change> Changes) {
  for (change &Change : Changes) {
    if (Change.Kind == change::kind::Create) {
      Tables[Change.Table].Layout = std::move(Change.Layout);
      continue;
    }
    if (Change.Kind == change::kind::Drop) {
      Tables.erase(Change.Table);
      continue;
    }
    auto Found = Tables.find(Change.Table);
    if (Found == Tables.end())
      continue;
    if (Change.Kind == change::kind::Erase)
      Found->second.Rows.erase(Change.Key);
    else
      Found->second.Rows[Change.Key] = std::move(Change.Row);
  }
}

void store::append(std::string Bytes) {
  log_record Record;
  Record.End = endOffset() + Bytes.size();
  Record.Checksum = extendChecksum(checksum(), Bytes);
  Record.Term = term();
  Record.Bytes = std::move(Bytes);
  Log.push_back(std::move(Record));
}

void store::applyRecord(std::string Bytes) {
  apply(decodeChanges(Bytes));
  append(std::move(Bytes));
}

void store::truncate(std::size_t Records) {
  if (Records >= Log.size())
    return;
  Log.resize(Records);
  createInitialTables();
  for (const log_record &Record : Log)
    apply(decodeChanges(Record.Bytes));
}

std::uint64_t store::term() const {
  const table *Table = find(TermTable);
  if (!Table || Table->Rows.empty())
    return 0;
  return static_cast<std::uint64_t>(
      toInteger(Table->Rows.begin()->second.at(0)));
}

std::string store::newRowKey() {
  // The log's length makes the key unique across promotions.
  return "#" + std::to_string(endOffset()) + "." + std::to_string(++LastRowKey);
}

} // namespace teasellock::stand_in
