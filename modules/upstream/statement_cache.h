#pragma once

#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace teasellock {

/// Names of the statements prepared on one connection, by text and parameter
/// types. Bounded: the least recently used one leaves first.
class statement_cache {
public:
  explicit statement_cache(std::size_t Limit) : Limit(Limit) {}

  /// The name of a prepared statement, or nothing.
  const std::string *find(const std::string &Sql,
                          const std::vector<std::int32_t> &Types);

  /// Adds a statement and returns its new name.
  std::string add(const std::string &Sql,
                  const std::vector<std::int32_t> &Types);

  /// Takes out and returns the name of the statement to deallocate, if there
  /// are more than the limit.
  std::optional<std::string> evict();

  /// Forgets a statement by its name.
  void remove(const std::string &Name);

  void clear();

  std::size_t size() const { return Entries.size(); }

private:
  struct entry {
    std::string Key;
    std::string Name;
  };

  std::size_t Limit;
  std::uint64_t Created = 0;
  /// Most recently used first.
  std::list<entry> Entries;
  std::unordered_map<std::string, std::list<entry>::iterator> ByKey;
};

} // namespace teasellock
