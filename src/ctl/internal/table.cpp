#include "ctl/table.h"

#include <algorithm>
#include <map>

#include <boost/json/serialize.hpp>

namespace laburnumspread::ctl {

namespace json = boost::json;

namespace {

struct Column {
  std::string_view Heading_;
  std::string_view Path_;
};

const std::map<std::string_view, std::vector<Column>> &columns() {
  static const std::map<std::string_view, std::vector<Column>> All = {
      {"pools",
       {{"NAME", "metadata.name"},
        {"BUDGET", "spec.budget.maxUnavailable"},
        {"MINIMUM", "spec.minimumVms"},
        {"QUEUE", "spec.queueLimit"},
        {"SPARE", "spec.spare"}}},
      {"vms",
       {{"NAME", "metadata.name"},
        {"POOL", "spec.pool"},
        {"LENT-TO", "status.lentTo"},
        {"ZONE", "spec.zone"},
        {"RACK", "spec.rack"},
        {"SLOTS", "spec.slots"},
        {"PHASE", "status.phase"},
        {"DRAIN", "spec.drain"},
        {"WAVE", "status.wave"}}},
      {"teams",
       {{"NAME", "metadata.name"},
        {"SHARE", "spec.share"},
        {"LIMIT", "spec.limit"},
        {"GENERATION", "metadata.generation"}}},
      {"keys", {{"NAME", "metadata.name"}, {"TEAM", "spec.team"}}},
      {"waves",
       {{"NAME", "metadata.name"},
        {"PHASE", "status.phase"},
        {"TOTAL", "status.total"},
        {"BATCH", "status.batch"},
        {"DONE", "status.done"},
        {"FAILED", "status.failed"}}},
      {"entries",
       {{"NAME", "metadata.name"},
        {"ZONE", "spec.zone"},
        {"HTTP", "spec.http"},
        {"IN-TOUCH", "status.inTouch"},
        {"LEAVING", "status.leaving"},
        {"REVISION", "status.configRevision"},
        {"VIEW", "status.view"}}},
      {"decisions",
       {{"SEQ", "sequence"},
        {"KIND", "kind"},
        {"SUBJECT", "subject"},
        {"REASON", "reason"},
        {"DETAIL", "detail"}}}};
  return All;
}

std::string toText(const json::value &Value) {
  if (Value.is_string())
    return std::string(Value.get_string());
  if (Value.is_null())
    return "";
  return json::serialize(Value);
}

} // namespace

std::string alignedTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows)
    for (std::size_t I = 0; I < Row.size(); ++I) {
      if (I == Widths.size())
        Widths.push_back(0);
      Widths[I] = std::max(Widths[I], Row[I].size());
    }
  std::string Text;
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      if (I + 1 < Row.size())
        Line.append(Widths[I] - Row[I].size() + 3, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + "\n";
  }
  return Text;
}

std::string textAt(const json::value &Object, std::string_view Path) {
  const bool Count = Path.ends_with('#');
  if (Count)
    Path.remove_suffix(1);
  const json::value *At = &Object;
  while (!Path.empty()) {
    const std::size_t Dot = std::min(Path.find('.'), Path.size());
    const json::object *Here = At->if_object();
    At = Here ? Here->if_contains(Path.substr(0, Dot)) : nullptr;
    if (!At)
      return "";
    Path.remove_prefix(std::min(Dot + 1, Path.size()));
  }
  if (Count && At->is_array())
    return std::to_string(At->get_array().size());
  return toText(*At);
}

std::string tableOf(const std::string &Kind, const json::value &List) {
  const auto Known = columns().find(Kind);
  const json::object *Document = List.if_object();
  const json::value *Items =
      Document ? Document->if_contains("items") : nullptr;
  if (Known == columns().end() || !Items || !Items->is_array())
    return json::serialize(List) + "\n";
  std::vector<std::vector<std::string>> Rows(1);
  for (const Column &Item : Known->second)
    Rows[0].emplace_back(Item.Heading_);
  for (const json::value &Object : Items->get_array()) {
    Rows.emplace_back();
    for (const Column &Item : Known->second)
      Rows.back().push_back(textAt(Object, Item.Path_));
  }
  return alignedTable(Rows);
}

} // namespace laburnumspread::ctl
