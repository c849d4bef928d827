#include "tests/stand_in/executor.h"

namespace teasellock::stand_in {

std::vector<output_column>
outputColumns(const std::vector<select_item> &Outputs,
              const table_layout *Layout) {
  std::vector<output_column> Columns;
  for (const select_item &Output : Outputs) {
    if (!Output.IsStar) {
      Columns.push_back({Output.Name, typeOf(Output.Value, Layout)});
      continue;
    }
    if (!Layout)
      throw sql_error("42601", "SELECT * needs a table");
    for (std::size_t Index = 0; Index < Layout->Names.size(); ++Index)
      Columns.push_back({Layout->Names[Index], Layout->Types[Index]});
  }
  return Columns;
}

statement_description describeStatement(const store &Store,
                                        const statement &Statement,
                                        execution_environment &Environment,
                                        std::vector<sql_type> Declared) {
  statement_description Description;
  Description.Parameters = std::move(Declared);
  const table_layout *Layout = nullptr;
  std::optional<virtual_table> Virtual;
  bool OnTable = Statement.Kind == statement_kind::Select ||
                 Statement.Kind == statement_kind::Insert ||
                 Statement.Kind == statement_kind::Update ||
                 Statement.Kind == statement_kind::Delete;
  if (OnTable && !Statement.Name.empty()) {
    Virtual = Environment.FindVirtualTable(Statement.Name);
    const table *Table = Store.find(Statement.Name);
    if (!Virtual && !Table)
      throw sql_error("42P01",
                      "relation \"" + Statement.Name + "\" does not exist");
    Layout = Virtual ? &Virtual->Layout : &Table->Layout;
  }
  inferParameters(Statement, Layout, Description.Parameters);
  Description.Columns = outputColumns(Statement.Outputs, Layout);
  Description.HasRows = !Statement.Outputs.empty();
  if (Statement.Kind == statement_kind::Show) {
    Description.HasRows = true;
    Description.Columns.push_back({Statement.Name, sql_type::Text});
  }
  return Description;
}

} // namespace teasellock::stand_in
