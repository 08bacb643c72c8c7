/// The main function of a benchmark program. It prints the cases to the console and appends them as JSON
/// lines to a file.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

namespace cometspoke::bench {

/// Whether cases are registered at the sizes that operators run, or at small sizes that only check
/// correctness.
enum class Sizes { Operators, Small };

struct CaseSizes {
    Sizes sizes = Sizes::Operators;
    std::optional<std::int64_t> destinations;  ///< replaces the default numbers of the cases
    std::optional<double> bound_s;  ///< replaces the number of seconds after which a case is cut short
};

/// Runs the registered cases. In addition to the options of Google Benchmark it takes `--small`
/// (Sizes::Small),
/// `--destinations=N`, `--bound_s=N` and `--json_lines=FILE`, to which a line is appended for each case:
///     {"case": "name/argument:value/...", "figures": {...}}
/// or with "error" instead of "figures". Returns the exit code: 1 if a case reported an error.
int run_cases(int count, char** arguments, const std::function<void(const CaseSizes&)>& register_cases);

}  // namespace cometspoke::bench
