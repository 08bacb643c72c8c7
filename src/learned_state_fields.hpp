/// Which fields of the learned state are serialized, by record: limits of a route, outages of an endpoint,
/// rates of a destination. One list serves both directions (learned_state_io.hpp). A new field is added here,
/// under a new name; a name is never given another meaning, since the other process may be of another
/// version.
#pragma once

namespace cometspoke {

void each_figure(auto& route, auto& visit) requires requires { route.gain; }
{
    visit("wait_until", route.wait_until);
    visit("limit_tag", route.limit_tag);
    visit("known", route.known);
    visit("gain", route.gain);
    visit("refusals", route.refusals);
    visit("ceiling", route.ceiling);
    visit("learned_at", route.learned_at);
}
void each_figure(auto& endpoint, auto& visit) requires requires { endpoint.health; }
{
    each_figure(endpoint.own, visit);
    visit("used", endpoint.used);
    visit("heard", endpoint.heard);
    visit("often", endpoint.often);
    visit("health", endpoint.health);
    visit("failure_seen", endpoint.failure_seen);
    visit("failing", endpoint.failing);
    visit("refused_row", endpoint.refused_row);
    visit("last_good", endpoint.last_good);
    visit("refused_at", endpoint.refused_at);
    visit("lost_at", endpoint.lost_at);
    visit("unconnected_at", endpoint.unconnected_at);
    visit("fell", endpoint.fell);
    visit("knowing", endpoint.knowing);
    visit("returned", endpoint.returned);
    visit("cold_tag", endpoint.cold_tag);
}
void each_figure(auto& destination, auto& visit) requires requires { destination.held; }
{
    each_figure(destination.shared, visit);
    visit("usual", destination.usual);
    visit("asked", destination.asked);
    visit("asked_at", destination.asked_at);
    visit("served_rate", destination.served_rate);
    visit("taken_rate", destination.taken_rate);
    visit("first_served", destination.first_served);
    visit("last_served", destination.last_served);
}

}  // namespace cometspoke
