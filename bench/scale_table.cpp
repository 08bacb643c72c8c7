/// Prints the results of the benchmark programs (JSON lines) as text tables with slopes.
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "scale_series.hpp"

namespace cometspoke::bench {
namespace {

/// The result of one case.
struct Result {
    std::map<std::string, double> figures;
    std::string error;  ///< why there are no figures; empty if the case succeeded
};

/// The parts of a case name such as "steady/destinations:1000/held:0".
struct CaseName {
    std::string bench;
    std::vector<std::pair<std::string, double>> arguments;
};

/// The cases of a benchmark that differ only in the argument along the columns.
struct Series {
    std::string label;  ///< the other arguments
    std::map<double, Result> by_size;
};

/// What a figure means for a case that was cut short.
enum class WhenCut {
    Mean,     ///< the mean over the part that ran
    Partial,  ///< a count or maximum over that part, not usable for a slope
    Total     ///< only a lower bound of the total
};

struct Figure {
    const char* name;     ///< in the JSON lines
    const char* heading;  ///< with the unit
    WhenCut when_cut = WhenCut::Mean;
};

struct Table {
    const char* bench;
    const char* title;
    const char* axis;  ///< the argument whose values are the columns
    std::vector<Figure> figures;
};

const std::vector<Table> kTables{
    {"list_whole", "Observing the whole list", "destinations",
        {{"mean_turn_ms", "time, ms"}, {"heap_mb", "heap, MB"},
            {"bytes_a_destination", "heap, B a destination"}}},
    {"list_repeated", "The same whole list again", "destinations", {{"mean_turn_ms", "time, ms"}}},
    {"list_change", "A list of changes (with the cleanup turn after it)", "destinations",
        {{"change_ms", "change, ms"}, {"worst_turn_ms", "worst turn, ms", WhenCut::Partial}}},
    {"steady", "104 messages a second, 4.3% of endpoints down", "destinations",
        {{"mean_turn_ms", "mean turn, ms"}, {"worst_turn_ms", "worst turn, ms", WhenCut::Partial},
            {"core_share", "share of a core"}, {"sent", "messages sent", WhenCut::Partial}}},
    {"steady_held", "104 messages a second, 4.3% of endpoints down, messages held", "held",
        {{"mean_turn_ms", "mean turn, ms"}, {"worst_turn_ms", "worst turn, ms", WhenCut::Partial},
            {"core_share", "share of a core"}}},
    {"held_heap", "Heap of held messages", "held",
        {{"heap_mb", "heap, MB"}, {"bytes_a_message", "heap, B a message"}}},
    {"one_more", "One more message while messages are held", "held",
        {{"to_closed_ms", "to a closed destination, ms"}, {"to_well_ms", "to a healthy one, ms"},
            {"worst_turn_ms", "worst turn, ms", WhenCut::Partial}}},
    {"timer_sweep", "A timer while messages are held", "held",
        {{"mean_turn_ms", "mean turn, ms"}, {"worst_turn_ms", "worst turn, ms", WhenCut::Partial}}},
    {"take_on", "Accepting messages (20,000 unless cut short), cost of all turns", "destinations",
        {{"total_s", "all turns, s", WhenCut::Total}, {"worst_turn_ms", "worst turn, ms", WhenCut::Partial},
            {"taken_on", "messages accepted", WhenCut::Partial}}},
    {"fleet_down", "Fleet, 4.3% of destinations down, 5 s", "forwarders",
        {{"offered", "offered", WhenCut::Partial}, {"sent", "sent", WhenCut::Partial},
            {"served", "served", WhenCut::Partial}, {"served_share", "served share"},
            {"attempts", "attempts", WhenCut::Partial}, {"held", "held at the end", WhenCut::Partial},
            {"to_down_per_s", "calls to down endpoints a second"},
            {"to_down_in_second_1", "  in second 1", WhenCut::Partial},
            {"to_down_in_second_3", "  in second 3", WhenCut::Partial},
            {"to_down_in_second_5", "  in second 5", WhenCut::Partial},
            {"most_at_one_in_1s", "most calls at one endpoint in 1 s", WhenCut::Partial},
            {"heap_mb", "heap of the fleet, MB"}, {"core_share_each", "share of a core each"},
            {"ran_s", "ran, s", WhenCut::Partial}}},
    {"fleet_back", "Fleet, 4.3% of destinations down from 1 s to 5 s, 12 s", "forwarders",
        {{"offered", "offered", WhenCut::Partial}, {"served", "served", WhenCut::Partial},
            {"served_share", "served share"}, {"to_down", "calls to down endpoints", WhenCut::Partial},
            {"most_at_one_in_1s", "most calls at one endpoint in 1 s", WhenCut::Partial},
            {"most_at_one_in_second_6", "  in the first second of recovery", WhenCut::Partial},
            {"ran_s", "ran, s", WhenCut::Partial}}},
    {"fleet_listed", "Fleet, each destination lists 5 calls a second, all healthy, 5 s", "forwarders",
        {{"offered", "offered", WhenCut::Partial}, {"sent", "sent", WhenCut::Partial},
            {"served", "served", WhenCut::Partial}, {"served_share", "served share"},
            {"turned_away", "rejected by endpoints", WhenCut::Partial},
            {"most_at_one_in_1s", "most calls at one endpoint in 1 s", WhenCut::Partial},
            {"ran_s", "ran, s", WhenCut::Partial}}},
    {"fleet_listed_alone", "One forwarder of a fleet, each destination lists 5 calls a second, 5 s",
        "forwarders",
        {{"offered", "offered", WhenCut::Partial}, {"sent", "sent", WhenCut::Partial},
            {"served", "served", WhenCut::Partial}, {"sent_share", "sent share"}}},
};

CaseName parse_name(const std::string& text) {
    std::istringstream parts(text);
    CaseName name;
    std::getline(parts, name.bench, '/');
    for (std::string part; std::getline(parts, part, '/');) {
        const std::size_t colon = part.find(':');
        if (colon == std::string::npos) continue;
        name.arguments.emplace_back(part.substr(0, colon), std::stod(part.substr(colon + 1)));
    }
    return name;
}

std::string number_text(double value) {
    char text[32];
    if (std::abs(value) < 1e9 && value == std::trunc(value))
        std::snprintf(text, sizeof text, "%lld", static_cast<long long>(value));
    else
        std::snprintf(text, sizeof text, "%.4g", value);
    return text;
}

Result read_result(const nlohmann::json& line) {
    Result result;
    if (line.contains("error")) result.error = line.at("error").get<std::string>();
    if (line.contains("figures")) result.figures = line.at("figures").get<std::map<std::string, double>>();
    return result;
}

/// All series of a benchmark, by label.
std::map<std::string, Series> read_series(const std::vector<nlohmann::json>& lines, const Table& table) {
    std::map<std::string, Series> all_series;
    for (const nlohmann::json& line : lines) {
        const CaseName name = parse_name(line.at("case").get<std::string>());
        if (name.bench != table.bench) continue;
        std::string label;
        double size = 0.0;
        for (const auto& [argument, value] : name.arguments)
            if (argument == table.axis)
                size = value;
            else
                label += " " + argument + ":" + number_text(value);
        Series& series = all_series[label];
        series.label = label;
        series.by_size[size] = read_result(line);
    }
    return all_series;
}

bool was_cut(const Result& result) { return result.figures.contains("over_s"); }

/// The text of a figure, marked if its case was cut short, or the reason why there is no figure.
std::string cell_text(const Result& result, const Figure& figure) {
    if (!result.error.empty()) return result.error;
    const auto found = result.figures.find(figure.name);
    if (found == result.figures.end()) return "-";
    if (!was_cut(result)) return number_text(found->second);
    if (figure.when_cut == WhenCut::Total) return "over " + number_text(result.figures.at("over_s")) + " s";
    return number_text(found->second) + "*";
}

std::vector<SeriesPoint> points_of(const Series& series, const Figure& figure) {
    std::vector<SeriesPoint> points;
    for (const auto& [size, result] : series.by_size) {
        if (was_cut(result) && figure.when_cut != WhenCut::Mean) continue;
        const auto found = result.figures.find(figure.name);
        if (found != result.figures.end()) points.push_back({size, found->second});
    }
    return points;
}

/// The slopes of a figure, if the last decade of sizes holds at least two values, one of them at the largest
/// size.
std::optional<Growth> growth_in(const Series& series, const Figure& figure) {
    const std::vector<SeriesPoint> points = points_of(series, figure);
    if (points.empty() || points.back().size < series.by_size.rbegin()->first) return std::nullopt;
    return growth_of(points);
}

void print_row(const std::string& label, const std::vector<std::string>& cells) {
    std::printf("  %-38s", label.c_str());
    for (const std::string& cell : cells) std::printf(" %13s", cell.c_str());
    std::printf("\n");
}

void print_series(const Series& series, const Table& table) {
    std::vector<std::string> sizes;
    for (const auto& [size, result] : series.by_size) sizes.push_back(number_text(size));
    sizes.insert(sizes.end(), {"slope a unit", "exponent"});
    print_row(std::string(table.axis) + " ->", sizes);
    for (const Figure& figure : table.figures) {
        std::vector<std::string> cells;
        for (const auto& [size, result] : series.by_size) cells.push_back(cell_text(result, figure));
        const std::optional<Growth> growth = growth_in(series, figure);
        cells.push_back(growth ? number_text(growth->per_unit) : "-");
        cells.push_back(growth && growth->exponent ? number_text(*growth->exponent) : "-");
        print_row(figure.heading, cells);
    }
}

void print_table(const std::vector<nlohmann::json>& lines, const Table& table) {
    const std::map<std::string, Series> all_series = read_series(lines, table);
    if (all_series.empty()) return;
    std::printf("\n%s (%s)\n", table.title, table.bench);
    for (const auto& [label, series] : all_series) {
        std::printf(" %s\n", label.c_str());
        print_series(series, table);
    }
}

/// Reads the lines of a result file. read_series() lets a later line of a case replace an earlier one.
std::vector<nlohmann::json> read_lines(const char* path) {
    std::ifstream file(path);
    if (!file) throw std::runtime_error(std::string("cannot read ") + path);
    std::vector<nlohmann::json> lines;
    for (std::string text; std::getline(file, text);)
        if (!text.empty()) lines.push_back(nlohmann::json::parse(text));
    return lines;
}

}  // namespace
}  // namespace cometspoke::bench

int main(int count, char** arguments) {
    using namespace cometspoke::bench;
    if (count != 2) {
        std::cerr << "usage: scale_table RESULTS.jsonl\n";
        return 1;
    }
    try {
        const auto lines = read_lines(arguments[1]);
        for (const Table& table : kTables) print_table(lines, table);
        std::printf(
            "\nSlopes: least squares over the last decade of sizes. Exponent: the slope of the logarithms (0 "
            "flat, 1 "
            "linear).\n* cut short at its time limit: the figure covers the part that ran.\n");
    } catch (const std::exception& failure) {
        std::cerr << "scale_table: " << failure.what() << "\n";
        return 1;
    }
    return 0;
}
