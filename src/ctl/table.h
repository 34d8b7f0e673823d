#pragma once

#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace laburnumspread::ctl {

/// Rows of text in aligned columns, the first row being the heading.
std::string alignedTable(const std::vector<std::vector<std::string>> &Rows);

/// The objects of a kind as a table with the columns that matter for it.
std::string tableOf(const std::string &Kind, const boost::json::value &List);

/// The value at a path as text, "" when there is none: "spec.pool".
std::string textAt(const boost::json::value &Object, std::string_view Path);

} // namespace laburnumspread::ctl
