#include "fuzz/targets.h"

#include <cstddef>
#include <cstdint>

// libFuzzer's entry point; LABURNUM_FUZZ_TARGET names the function.

// The name is libFuzzer's.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  laburnumspread::fuzz::LABURNUM_FUZZ_TARGET(
      {reinterpret_cast<const char *>(Data), Size});
  return 0;
}
