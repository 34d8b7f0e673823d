#include "workers/workertypes.h"

#include <algorithm>

namespace laburnumspread::workers {

bool WorkerRecord::hasLabel(const Label &Wanted) const {
  return std::find(Labels_.begin(), Labels_.end(), Wanted) != Labels_.end();
}

} // namespace laburnumspread::workers
