#include "framework/http/httptypes.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/grammar/lut_chars.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

namespace laburnumspread::framework::http {

namespace {

bool equalsIgnoringCase(std::string_view A, std::string_view B) {
  return std::equal(A.begin(), A.end(), B.begin(), B.end(),
                    [](unsigned char X, unsigned char Y) {
                      return std::tolower(X) == std::tolower(Y);
                    });
}

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

std::string percentDecoded(std::string_view Text) {
  std::string Result;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size() && hexDigit(Text[I + 1]) >= 0 &&
        hexDigit(Text[I + 2]) >= 0) {
      Result +=
          static_cast<char>(hexDigit(Text[I + 1]) * 16 + hexDigit(Text[I + 2]));
      I += 2;
    } else {
      Result += Text[I];
    }
  }
  return Result;
}

std::string percentEncoded(std::string_view Text) {
  constexpr auto Unencoded =
      boost::urls::unreserved_chars + boost::urls::grammar::lut_chars("/");
  const boost::urls::string_view Source(Text.data(), Text.size());
  std::string Result(boost::urls::encoded_size(Source, Unencoded), '\0');
  boost::urls::encode(Result.data(), Result.size(), Source, Unencoded);
  return Result;
}

bool isVisibleAscii(char C) { return C > ' ' && C < '\x7f'; }

bool isControl(char C) {
  return (static_cast<unsigned char>(C) < ' ' && C != '\t') || C == '\x7f';
}

template <typename Visitor>
void splitAt(std::string_view Text, char Separator, Visitor &&Visit) {
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find(Separator), Text.size());
    if (End > 0)
      Visit(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
}

} // namespace

std::optional<Address> parseAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  Address Result;
  Result.Ip_ = std::string(Text.substr(0, Colon));
  const std::string_view Port = Text.substr(Colon + 1);
  const auto Parsed =
      std::from_chars(Port.data(), Port.data() + Port.size(), Result.Port_);
  boost::system::error_code Error;
  boost::asio::ip::make_address(Result.Ip_, Error);
  if (Error || Parsed.ec != std::errc() ||
      Parsed.ptr != Port.data() + Port.size())
    return std::nullopt;
  return Result;
}

void Headers::add(std::string_view Name, std::string_view Value) {
  All_.push_back({std::string(Name), std::string(Value)});
}

std::optional<std::string_view> Headers::find(std::string_view Name) const {
  for (const Header &Field : All_)
    if (equalsIgnoringCase(Field.Name_, Name))
      return Field.Value_;
  return std::nullopt;
}

std::optional<std::string_view> Target::query(std::string_view Name) const {
  for (const Header &Parameter : Query_)
    if (Parameter.Name_ == Name)
      return Parameter.Value_;
  return std::nullopt;
}

Target parseTarget(std::string_view Text) {
  Target Result;
  const std::size_t QueryStart = std::min(Text.find('?'), Text.size());
  splitAt(Text.substr(0, QueryStart), '/', [&](std::string_view Segment) {
    Result.Segments_.push_back(percentDecoded(Segment));
  });
  if (QueryStart == Text.size())
    return Result;
  splitAt(Text.substr(QueryStart + 1), '&', [&](std::string_view Pair) {
    const std::size_t Equals = std::min(Pair.find('='), Pair.size());
    const std::string_view Value =
        Equals < Pair.size() ? Pair.substr(Equals + 1) : std::string_view();
    Result.Query_.push_back(
        {percentDecoded(Pair.substr(0, Equals)), percentDecoded(Value)});
  });
  return Result;
}

std::string formatTarget(std::string_view Path,
                         const std::vector<Header> &Query) {
  std::string Result(Path);
  char Separator = '?';
  for (const Header &Parameter : Query) {
    Result += Separator;
    Result += percentEncoded(Parameter.Name_);
    Result += '=';
    Result += percentEncoded(Parameter.Value_);
    Separator = '&';
  }
  return Result;
}

bool isSendable(const Request &Message) {
  return std::all_of(Message.Target_.begin(), Message.Target_.end(),
                     isVisibleAscii) &&
         std::all_of(Message.Headers_.all().begin(),
                     Message.Headers_.all().end(), [](const Header &Field) {
                       return std::none_of(Field.Value_.begin(),
                                           Field.Value_.end(), isControl);
                     });
}

} // namespace laburnumspread::framework::http
