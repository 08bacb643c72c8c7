/// The main part of a bench program: its cases on the console, and as JSON lines in a file.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

namespace cometspoke::bench {

/// Whether cases are registered at the operators' sizes, or small ones for a check of correctness only.
enum class Sizes { Operators, Small };

struct CaseSizes {
    Sizes sizes = Sizes::Operators;
    std::optional<std::int64_t> destinations;  ///< in place of the numbers that the cases would have
    std::optional<double> bound_s;  ///< seconds after which a case is cut short, in place of its own
};

/// Runs the registered cases. Beside the options of Google Benchmark it takes `--small` (Sizes::Small),
/// `--destinations=N`, `--bound_s=N` and `--json_lines=FILE`, to which a line is appended for each case:
///     {"case": "name/argument:value/...", "figures": {...}}
/// or with "error" in place of "figures". Returns the exit code: 1 where a case reported an error.
int run_cases(int count, char** arguments, const std::function<void(const CaseSizes&)>& register_cases);

}  // namespace cometspoke::bench
