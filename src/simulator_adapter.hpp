/// The adapter to the simulator: translates JSON lines into events for the module, and the module's actions
/// into JSON lines. All decisions are the module's.
#pragma once

#include <cstdint>
#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cometspoke/sender.hpp"
#include "settings.hpp"

namespace cometspoke::wire {

using Json = settings::Json;

using settings::InvalidInput;

/// One simulated process: its Sender, and the endpoint names that its events have mentioned.
class Instance {
public:
    Instance(const Json& params, std::uint64_t seed);

    /// Passes one event to the Sender. `now` is the time of the batch; `rows` holds the endpoint list that a
    /// VIEW event refers to, or is null.
    void observe(const std::string& name, const Json& fields, const Json* rows, Time now);
    /// Writes the Sender's actions; `instance_id` names the instance to the simulator.
    void write_actions(std::int64_t instance_id, Time now, std::ostream& out);

private:
    EndpointId endpoint_id(const std::string& name);
    ListEvent parse_list(const Json& fields, const Json* rows);
    MessageEvent parse_message(const Json& fields) const;
    OutcomeEvent parse_outcome(const Json& fields);
    ProbeResult parse_probe_result(const Json& fields);
    std::optional<LoadReport> parse_load_report(const Json& fields) const;
    Json action_json(const Action& action, std::int64_t instance_id) const;

    settings::Names names_;
    std::map<std::string, EndpointId> endpoints_;
    std::vector<std::string> endpoint_names_;
    std::optional<Sender> sender_;
};

/// Processes batches until the input ends, and returns the exit code. An error in the input ends the run with
/// one line on `err` that names the input line.
int run(std::istream& in, std::ostream& out, std::ostream& err);

}  // namespace cometspoke::wire
