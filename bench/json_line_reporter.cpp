#include "json_line_reporter.hpp"

#include <benchmark/benchmark.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace cometspoke::bench {
namespace {

class JsonLineReporter : public benchmark::ConsoleReporter {
public:
    explicit JsonLineReporter(const std::string& path) : ConsoleReporter(OO_Tabular) {
        if (!path.empty()) file_.open(path, std::ios::app);
    }

    void ReportRuns(const std::vector<Run>& runs) override {
        ConsoleReporter::ReportRuns(runs);
        for (const Run& run : runs) {
            failed_ = failed_ || run.error_occurred;
            if (file_.is_open()) file_ << line_of(run).dump() << std::endl;
        }
    }
    bool failed() const { return failed_; }

private:
    static nlohmann::json line_of(const Run& run) {
        nlohmann::json line{{"case", run.run_name.function_name + "/" + run.run_name.args}};
        if (run.error_occurred) {
            line["error"] = run.error_message;
            return line;
        }
        nlohmann::json& figures = line["figures"] = nlohmann::json::object();
        for (const auto& [name, counter] : run.counters) figures[name] = counter.value;
        return line;
    }

    std::ofstream file_;
    bool failed_ = false;
};

}  // namespace

int run_cases(int count, char** arguments, const std::function<void(const CaseSizes&)>& register_cases) {
    constexpr std::string_view kJsonLines = "--json_lines=";
    constexpr std::string_view kDestinations = "--destinations=";
    constexpr std::string_view kBound = "--bound_s=";
    std::string path;
    CaseSizes sizes;
    std::vector<char*> others;
    for (int i = 0; i < count; ++i) {
        const std::string argument = arguments[i];
        if (argument == "--small")
            sizes.sizes = Sizes::Small;
        else if (argument.starts_with(kJsonLines))
            path = argument.substr(kJsonLines.size());
        else if (argument.starts_with(kDestinations))
            sizes.destinations = std::stoll(argument.substr(kDestinations.size()));
        else if (argument.starts_with(kBound))
            sizes.bound_s = std::stod(argument.substr(kBound.size()));
        else
            others.push_back(arguments[i]);
    }
    int other_count = static_cast<int>(others.size());
    benchmark::Initialize(&other_count, others.data());
    if (benchmark::ReportUnrecognizedArguments(other_count, others.data())) return 1;
    register_cases(sizes);
    JsonLineReporter reporter(path);
    benchmark::RunSpecifiedBenchmarks(&reporter);
    return reporter.failed() ? 1 : 0;
}

}  // namespace cometspoke::bench
