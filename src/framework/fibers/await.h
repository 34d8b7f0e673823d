#pragma once

#include <cstddef>

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

namespace laburnumspread::framework::fibers {

/// Result of an asynchronous operation: error code and bytes transferred.
struct IoOutcome {
  boost::system::error_code Error_;
  std::size_t Bytes_ = 0;
};

/// Starts an asynchronous operation and suspends the calling fiber until its
/// completion handler has run. \p Start is called with that handler. The shared
/// state is on the fiber's stack, which is safe because the fiber does not
/// return before the handler has run.
template <typename StartFn> IoOutcome await(StartFn &&Start) {
  struct State {
    IoOutcome Outcome_;
    bool Done_ = false;
    bool Suspended_ = false;
  } Shared;
  boost::fibers::context *Self = boost::fibers::context::active();
  auto Finish = [&Shared, Self](boost::system::error_code Error,
                                std::size_t Bytes) {
    Shared.Outcome_ = {Error, Bytes};
    Shared.Done_ = true;
    if (Shared.Suspended_)
      boost::fibers::context::active()->schedule(Self);
  };
  Start([Finish](boost::system::error_code Error, auto... Rest) {
    if constexpr (sizeof...(Rest) == 1 &&
                  (std::is_convertible_v<decltype(Rest), std::size_t> && ...))
      Finish(Error, static_cast<std::size_t>((Rest, ...)));
    else
      Finish(Error, 0);
  });
  if (!Shared.Done_) {
    Shared.Suspended_ = true;
    Self->suspend();
  }
  return Shared.Outcome_;
}

} // namespace laburnumspread::framework::fibers
