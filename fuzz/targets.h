#pragma once

#include <string_view>

namespace laburnumspread::fuzz {

// One function for each kind of input from outside. Each takes any bytes and
// must neither crash, hang nor let a broken value through.

/// An entry's settings file.
void settings(std::string_view Bytes);
/// A resource as an operator sends it, of every kind; what is accepted must
/// read back the same from its stored form.
void resources(std::string_view Bytes);
/// A caller's target and header values.
void headers(std::string_view Bytes);
/// A letter from a peer; what is accepted must encode again.
void peers(std::string_view Bytes);
/// Answers and watch lines of the store, shard values and views.
void store(std::string_view Bytes);

} // namespace laburnumspread::fuzz
