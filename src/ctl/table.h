#pragma once

#include <string>
#include <vector>

#include <boost/json/value.hpp>

namespace laburnumspread::ctl {

/// Formats rows of text in aligned columns. The first row is the heading.
std::string alignedTable(const std::vector<std::vector<std::string>> &Rows);

/// Formats the "items" of a list as a table with the columns of their kind.
/// Returns \p List as JSON if the kind is unknown or there are no items.
std::string tableOf(const std::string &Kind, const boost::json::value &List);

/// Returns the value at a path such as "spec.pool" as text, or "" if there is
/// none. A path that ends in '#' returns the length of an array.
std::string textAt(const boost::json::value &Object, std::string_view Path);

} // namespace laburnumspread::ctl
