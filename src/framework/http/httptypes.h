#pragma once

#include "framework/clock/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnumspread::framework::http {

/// Numeric IP address and port.
struct Address {
  std::string Ip_;
  std::uint16_t Port_ = 0;

  auto operator<=>(const Address &) const = default;
  std::string str() const { return Ip_ + ":" + std::to_string(Port_); }
};

/// Parses "ip:port" with a numeric IP address. Returns an empty optional if
/// \p Text is malformed.
std::optional<Address> parseAddress(std::string_view Text);

struct Header {
  std::string Name_;
  std::string Value_;
};

/// Header fields in the order of their addition. Look-up is case-insensitive.
class Headers {
public:
  void add(std::string_view Name, std::string_view Value);
  std::optional<std::string_view> find(std::string_view Name) const;
  const std::vector<Header> &all() const { return All_; }

private:
  std::vector<Header> All_;
};

struct Request {
  std::string Method_;
  std::string Target_;
  Headers Headers_;
  std::string Body_;
};

struct Response {
  int Status_ = 0;
  Headers Headers_;
  std::string Body_;
};

/// Path segments and query parameters of a request target, percent-decoded.
struct Target {
  std::vector<std::string> Segments_;
  std::vector<Header> Query_;

  std::optional<std::string_view> query(std::string_view Name) const;
};

/// Splits a request target into percent-decoded path segments and query
/// parameters. Empty segments and parameters are skipped.
Target parseTarget(std::string_view Text);

/// Returns the request target of \p Path with the query parameters \p Query.
/// Their names and values may hold any bytes: all but letters, digits, "-._~"
/// and "/" are percent-encoded. Otherwise a value with '&' or '#' would be cut,
/// one with '+' or '%' be read as another, and one with a space or a line break
/// make the request malformed.
std::string formatTarget(std::string_view Path,
                         const std::vector<Header> &Query);

/// Whether \p Message can be sent as HTTP: the target is visible ASCII, and no
/// header value holds a control character other than a tab. A line break would
/// end the line and let the rest pass for further header fields.
bool isSendable(const Request &Message);

} // namespace laburnumspread::framework::http
