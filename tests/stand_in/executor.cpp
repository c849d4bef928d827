#include "tests/stand_in/executor.h"

#include <algorithm>
#include <unordered_set>

namespace teasellock::stand_in {

namespace {

struct matched_row {
  std::string Key;
  const row *Row;
};

/// Finds "key column = constant" among the conditions joined by AND.
const expression *keyCondition(const expression &Condition,
                               const std::string &KeyName) {
  if (Condition.Kind != expression_kind::Binary)
    return nullptr;
  if (Condition.Name == "and") {
    const expression *Left = keyCondition(Condition.Arguments[0], KeyName);
    return Left ? Left : keyCondition(Condition.Arguments[1], KeyName);
  }
  const expression &Left = Condition.Arguments[0];
  const expression &Right = Condition.Arguments[1];
  bool Constant = Right.Kind == expression_kind::Literal ||
                  Right.Kind == expression_kind::Parameter;
  if (Condition.Name == "=" && Left.Kind == expression_kind::Column &&
      Left.Name == KeyName && Constant)
    return &Right;
  return nullptr;
}

class table_statement {
public:
  table_statement(store &Store, transaction &Transaction,
                  const statement &Statement,
                  const std::vector<value> &Parameters,
                  execution_environment &Environment)
      : Store(Store), Transaction(Transaction), Statement(Statement),
        Environment(Environment) {
    Scope.Parameters = &Parameters;
    Scope.CallFunction = &Environment.CallFunction;
  }

  execution run() {
    if (Statement.Kind == statement_kind::Select && !Statement.ForUpdate)
      select();
    else
      write();
    if (Execution.LockOwner)
      return {{}, Execution.LockOwner};
    for (change &Change : Changes)
      Store.addChange(Transaction, std::move(Change));
    return std::move(Execution);
  }

private:
  void write() {
    if (Environment.ReadOnly)
      throw sql_error("25006", "cannot execute " + verb() +
                                   " in a read-only transaction");
    switch (Statement.Kind) {
    case statement_kind::CreateTable:
      return createTable();
    case statement_kind::DropTable:
      return dropTable();
    case statement_kind::Insert:
      return insert();
    case statement_kind::Update:
      return update();
    case statement_kind::Delete:
      return erase();
    default:
      return select();
    }
  }

  std::string verb() const {
    switch (Statement.Kind) {
    case statement_kind::CreateTable:
      return "CREATE TABLE";
    case statement_kind::DropTable:
      return "DROP TABLE";
    case statement_kind::Insert:
      return "INSERT";
    case statement_kind::Update:
      return "UPDATE";
    case statement_kind::Delete:
      return "DELETE";
    default:
      return "SELECT FOR UPDATE";
    }
  }

  void openTable() {
    const table *Found = Store.find(Statement.Name);
    if (!Found)
      throw sql_error("42P01",
                      "relation \"" + Statement.Name + "\" does not exist");
    Table = Found;
    Scope.Layout = &Found->Layout;
  }

  bool matches(const row &Row) {
    Scope.Row = &Row;
    return !Statement.Where || isTrue(evaluate(*Statement.Where, Scope));
  }

  bool addMatch(const std::string &Key, const row &Row) {
    if (matches(Row))
      Matches.push_back({Key, &Row});
    return Matches.size() < ScanLimit;
  }

  void scan() {
    if (scanByKey())
      return;
    for (const auto &[Key, Row] : Table->Rows) {
      const row *Seen = &Row;
      if (!Transaction.Newest.empty())
        Seen = Store.read(Transaction, Statement.Name, Key);
      if (Seen && !addMatch(Key, *Seen))
        return;
    }
    for (const auto &[Name, Index] : Transaction.Newest) {
      const change &Change = Transaction.Changes[Index];
      bool Added = Change.Kind == change::kind::Put &&
                   Change.Table == Statement.Name &&
                   !Table->Rows.contains(Change.Key);
      if (Added && !addMatch(Change.Key, Change.Row))
        return;
    }
  }

  bool scanByKey() {
    int KeyColumn = Table->Layout.KeyColumn;
    if (KeyColumn < 0 || !Statement.Where)
      return false;
    const expression *Wanted =
        keyCondition(*Statement.Where,
                     Table->Layout.Names[static_cast<std::size_t>(KeyColumn)]);
    if (!Wanted)
      return false;
    std::string Key = toText(evaluate(*Wanted, Scope));
    if (const row *Row = Store.read(Transaction, Statement.Name, Key))
      addMatch(Key, *Row);
    return true;
  }

  bool lockRow(const std::string &Key) {
    Execution.LockOwner = Store.lock(Transaction, Statement.Name, Key);
    return !Execution.LockOwner;
  }

  bool lockMatches() {
    for (const matched_row &Match : Matches)
      if (!lockRow(Match.Key))
        return false;
    return true;
  }

  void select() {
    std::optional<virtual_table> Virtual;
    if (!Statement.Name.empty()) {
      Virtual = Environment.FindVirtualTable(Statement.Name);
      if (Virtual)
        Scope.Layout = &Virtual->Layout;
      else
        openTable();
    }
    result &Result = Execution.Result;
    Result.HasRows = true;
    Result.Columns = outputColumns(Statement.Outputs, Scope.Layout);
    limitScan();
    if (Virtual)
      scanVirtual(*Virtual);
    else if (Table)
      scan();
    if (Statement.ForUpdate && !lockMatches())
      return;
    emitRows();
    Result.CommandTag = "SELECT " + std::to_string(Result.Rows.size());
  }

  bool aggregates() const {
    return std::any_of(Statement.Outputs.begin(), Statement.Outputs.end(),
                       [](const select_item &Output) {
                         return !Output.IsStar && isAggregate(Output.Value);
                       });
  }

  void limitScan() {
    if (!Statement.Limit)
      return;
    value Limit = evaluate(*Statement.Limit, Scope);
    if (isNull(Limit))
      return;
    if (toInteger(Limit) < 0)
      throw sql_error("2201W", "LIMIT must not be negative");
    RowLimit = static_cast<std::size_t>(toInteger(Limit));
    if (Statement.OrderBy.empty() && !aggregates())
      ScanLimit = std::max<std::size_t>(RowLimit, 1);
  }

  void scanVirtual(const virtual_table &Virtual) {
    for (const row &Row : Virtual.Rows)
      if (matches(Row))
        Matches.push_back({{}, &Row});
  }

  void sortMatches() {
    int Column = Scope.Layout ? Scope.Layout->indexOf(Statement.OrderBy) : -1;
    if (Column < 0)
      throw sql_error("42703",
                      "column \"" + Statement.OrderBy + "\" does not exist");
    auto Index = static_cast<std::size_t>(Column);
    // NULL sorts as larger than any value.
    auto Before = [Index](const matched_row &Left, const matched_row &Right) {
      const value &First = Left.Row->at(Index);
      const value &Second = Right.Row->at(Index);
      if (isNull(First) || isNull(Second))
        return !isNull(First) && isNull(Second);
      return compareValues(First, Second) < 0;
    };
    std::stable_sort(Matches.begin(), Matches.end(), Before);
    if (Statement.Descending)
      std::reverse(Matches.begin(), Matches.end());
  }

  void emitRows() {
    if (aggregates()) {
      Execution.Result.Rows.push_back(aggregateRow());
      return;
    }
    if (Statement.Name.empty()) {
      if (!Statement.Where || isTrue(evaluate(*Statement.Where, Scope)))
        Execution.Result.Rows.push_back(outputRow(nullptr));
      return;
    }
    if (!Statement.OrderBy.empty())
      sortMatches();
    if (Matches.size() > RowLimit)
      Matches.resize(RowLimit);
    for (const matched_row &Match : Matches)
      Execution.Result.Rows.push_back(outputRow(Match.Row));
  }

  row outputRow(const row *Source) {
    row Out;
    Scope.Row = Source;
    for (const select_item &Output : Statement.Outputs) {
      if (Output.IsStar)
        Out.insert(Out.end(), Source->begin(), Source->end());
      else
        Out.push_back(evaluate(Output.Value, Scope));
    }
    return Out;
  }

  row aggregateRow() {
    row Out;
    for (const select_item &Output : Statement.Outputs) {
      if (Output.IsStar || !isAggregate(Output.Value))
        throw sql_error("42803", "columns beside aggregates are not supported");
      Out.push_back(aggregate(Output.Value));
    }
    return Out;
  }

  value aggregate(const expression &Call) {
    std::int64_t Count = 0;
    value Result;
    for (const matched_row &Match : Matches) {
      Scope.Row = Match.Row;
      value Item = Call.Arguments.empty() ? value{std::int64_t(1)}
                                          : evaluate(Call.Arguments[0], Scope);
      if (isNull(Item))
        continue;
      ++Count;
      Result = combine(Call.Name, Result, Item);
    }
    return Call.Name == "count" ? value{Count} : Result;
  }

  static value combine(const std::string &Name, const value &Sum,
                       const value &Item) {
    if (Name == "count" || isNull(Sum))
      return Item;
    if (Name == "sum") {
      std::int64_t Total = 0;
      if (__builtin_add_overflow(toInteger(Sum), toInteger(Item), &Total))
        throw sql_error("22003", "bigint out of range");
      return Total;
    }
    bool Less = compareValues(Item, Sum) < 0;
    return Less == (Name == "min") ? Item : Sum;
  }

  std::size_t columnOf(const std::string &Name) const {
    int Index = Table->Layout.indexOf(Name);
    if (Index < 0)
      throw sql_error("42703", "column \"" + Name + "\" of relation \"" +
                                   Statement.Name + "\" does not exist");
    return static_cast<std::size_t>(Index);
  }

  value stored(value Value, std::size_t Column) const {
    sql_type Type = Table->Layout.Types[Column];
    if (isNull(Value))
      return Value;
    if (isInteger(Type))
      return toInteger(Value);
    if (Type == sql_type::Boolean)
      return fromText(Type, toText(Value));
    return toText(Value);
  }

  row insertedRow(const std::vector<expression> &Values) {
    row Row(Table->Layout.Names.size());
    bool Named = !Statement.InsertColumns.empty();
    if (Named ? Values.size() != Statement.InsertColumns.size()
              : Values.size() > Row.size())
      throw sql_error("42601", "INSERT has the wrong number of expressions");
    for (std::size_t Index = 0; Index < Values.size(); ++Index) {
      std::size_t Column =
          Named ? columnOf(Statement.InsertColumns[Index]) : Index;
      Row[Column] = stored(evaluate(Values[Index], Scope), Column);
    }
    return Row;
  }

  std::string keyOf(const row &Row) {
    if (Table->Layout.KeyColumn < 0)
      return Store.newRowKey();
    const value &Key =
        Row.at(static_cast<std::size_t>(Table->Layout.KeyColumn));
    if (isNull(Key))
      throw sql_error("23502", "the primary key must not be null");
    return toText(Key);
  }

  void insert() {
    openTable();
    std::unordered_set<std::string> InsertedKeys;
    std::vector<change> Inserted;
    for (const auto &Values : Statement.Rows) {
      row Row = insertedRow(Values);
      std::string Key = keyOf(Row);
      if (!lockRow(Key))
        return;
      bool Exists = Store.read(Transaction, Statement.Name, Key) ||
                    InsertedKeys.contains(Key);
      Environment.RecordInsert(Statement.Name, Key);
      if (!Exists) {
        InsertedKeys.insert(Key);
        Inserted.push_back(
            {change::kind::Put, Statement.Name, Key, std::move(Row), {}});
      } else if (!Statement.OnConflictDoNothing) {
        throw sql_error("23505",
                        "duplicate key value violates unique constraint \"" +
                            Statement.Name + "_pkey\"");
      }
    }
    std::size_t Count = Inserted.size();
    finish("INSERT 0 " + std::to_string(Count), std::move(Inserted));
  }

  void update() {
    openTable();
    scan();
    if (!lockMatches())
      return;
    std::vector<change> Updated;
    for (const matched_row &Match : Matches) {
      row Row = *Match.Row;
      Scope.Row = Match.Row;
      for (const assignment &Assignment : Statement.Assignments) {
        std::size_t Column = columnOf(Assignment.Column);
        if (static_cast<int>(Column) == Table->Layout.KeyColumn)
          throw sql_error("0A000", "primary keys cannot be updated");
        Row[Column] = stored(evaluate(Assignment.Value, Scope), Column);
      }
      Updated.push_back(
          {change::kind::Put, Statement.Name, Match.Key, std::move(Row), {}});
    }
    std::size_t Count = Updated.size();
    finish("UPDATE " + std::to_string(Count), std::move(Updated));
  }

  void erase() {
    openTable();
    scan();
    if (!lockMatches())
      return;
    std::vector<change> Erased;
    for (const matched_row &Match : Matches)
      Erased.push_back(
          {change::kind::Erase, Statement.Name, Match.Key, *Match.Row, {}});
    std::size_t Count = Erased.size();
    finish("DELETE " + std::to_string(Count), std::move(Erased));
  }

  void finish(std::string CommandTag, std::vector<change> Made) {
    result &Result = Execution.Result;
    Result.CommandTag = std::move(CommandTag);
    Result.HasRows = !Statement.Outputs.empty();
    if (Result.HasRows) {
      Result.Columns = outputColumns(Statement.Outputs, Scope.Layout);
      for (const change &Change : Made)
        Result.Rows.push_back(outputRow(&Change.Row));
    }
    for (change &Change : Made) {
      if (Change.Kind == change::kind::Erase)
        Change.Row.clear();
      Changes.push_back(std::move(Change));
    }
  }

  void createTable() {
    Execution.Result.CommandTag = "CREATE TABLE";
    if (Store.find(Statement.Name)) {
      if (Statement.IfExists)
        return;
      throw sql_error("42P07",
                      "relation \"" + Statement.Name + "\" already exists");
    }
    change Change;
    Change.Kind = change::kind::Create;
    Change.Table = Statement.Name;
    for (const column &Column : Statement.Columns) {
      Change.Layout.Names.push_back(Column.Name);
      Change.Layout.Types.push_back(Column.Type);
    }
    Change.Layout.KeyColumn = Change.Layout.indexOf(Statement.PrimaryKey);
    commitAlone(std::move(Change));
  }

  void dropTable() {
    Execution.Result.CommandTag = "DROP TABLE";
    if (!Store.find(Statement.Name)) {
      if (Statement.IfExists)
        return;
      throw sql_error("42P01",
                      "table \"" + Statement.Name + "\" does not exist");
    }
    change Change;
    Change.Kind = change::kind::Drop;
    Change.Table = Statement.Name;
    commitAlone(std::move(Change));
  }

  // CREATE and DROP take effect immediately, outside the open transaction.
  void commitAlone(change Change) {
    transaction Alone;
    Store.addChange(Alone, std::move(Change));
    Store.commit(Alone);
  }

  store &Store;
  transaction &Transaction;
  const statement &Statement;
  execution_environment &Environment;
  evaluation_scope Scope;
  execution Execution;
  const table *Table = nullptr;
  std::vector<matched_row> Matches;
  std::vector<change> Changes;
  std::size_t RowLimit = SIZE_MAX;
  std::size_t ScanLimit = SIZE_MAX;
};

} // namespace

execution executeStatement(store &Store, transaction &Transaction,
                           const statement &Statement,
                           const std::vector<value> &Parameters,
                           execution_environment &Environment) {
  return table_statement(Store, Transaction, Statement, Parameters, Environment)
      .run();
}

} // namespace teasellock::stand_in
