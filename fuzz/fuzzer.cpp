#include "fuzz/targets.h"

#include <cstddef>
#include <cstdint>

// libFuzzer's entry point, whose name libFuzzer prescribes. The build defines
// LABURNUM_FUZZ_TARGET as the name of a function in fuzz/targets.h.
// NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  laburnumspread::fuzz::LABURNUM_FUZZ_TARGET(
      {reinterpret_cast<const char *>(Data), Size});
  return 0;
}
