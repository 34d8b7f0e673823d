#pragma once

#include "framework/settings/settingsfile.h"

namespace laburnumspread::framework::settings {

/// Tells when the text of a settings file is another than at the last look. A
/// file may change without a signal, so it is looked at from time to time. One
/// that cannot be read just now counts as unchanged: it is being replaced.
class SettingsWatch {
public:
  explicit SettingsWatch(std::string File) : File_(std::move(File)) {
    changed();
  }

  /// Reads the file. True when its text has changed since the last call.
  bool changed() {
    auto Text = readSettingsFile(File_);
    if (!Text.ok() || *Text == Text_)
      return false;
    Text_ = std::move(*Text);
    return true;
  }

private:
  std::string File_;
  std::string Text_;
};

} // namespace laburnumspread::framework::settings
