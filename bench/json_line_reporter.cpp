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
            if (file_.is_open()) file_ << json_of(run).dump() << std::endl;
        }
    }
    bool failed() const { return failed_; }

private:
    static nlohmann::json json_of(const Run& run) {
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
    constexpr std::string_view kJsonLinesFlag = "--json_lines=";
    constexpr std::string_view kDestinationsFlag = "--destinations=";
    constexpr std::string_view kBoundFlag = "--bound_s=";
    std::string path;
    CaseSizes sizes;
    std::vector<char*> remaining;
    for (int i = 0; i < count; ++i) {
        const std::string argument = arguments[i];
        if (argument == "--small")
            sizes.sizes = Sizes::Small;
        else if (argument.starts_with(kJsonLinesFlag))
            path = argument.substr(kJsonLinesFlag.size());
        else if (argument.starts_with(kDestinationsFlag))
            sizes.destinations = std::stoll(argument.substr(kDestinationsFlag.size()));
        else if (argument.starts_with(kBoundFlag))
            sizes.bound_s = std::stod(argument.substr(kBoundFlag.size()));
        else
            remaining.push_back(arguments[i]);
    }
    int remaining_count = static_cast<int>(remaining.size());
    benchmark::Initialize(&remaining_count, remaining.data());
    if (benchmark::ReportUnrecognizedArguments(remaining_count, remaining.data())) return 1;
    register_cases(sizes);
    JsonLineReporter reporter(path);
    benchmark::RunSpecifiedBenchmarks(&reporter);
    return reporter.failed() ? 1 : 0;
}

}  // namespace cometspoke::bench
