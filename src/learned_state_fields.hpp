/// The fields of the learned state that are serialized: limits of a rate limiter, outages of an endpoint,
/// rates of a destination.
///
/// One list serves writing and reading (learned_state_io.hpp). The texts are the format between two
/// processes, which may be of different versions: a new field gets a new text, and a text never changes its
/// meaning. The texts are therefore independent of the names of the fields.
#pragma once

namespace cometspoke {

void visit_fields(auto& limiter, auto& visit) requires requires { limiter.share; }
{
    visit("wait_until", limiter.retry_after_until);
    visit("limit_tag", limiter.limit_tag);
    visit("known", limiter.known_limit_per_s);
    visit("gain", limiter.share);
    visit("refusals", limiter.refusals);
    visit("ceiling", limiter.share_ceiling);
    visit("learned_at", limiter.share_changed_at);
}
void visit_fields(auto& endpoint, auto& visit) requires requires { endpoint.health; }
{
    visit_fields(endpoint.own_limiter, visit);
    visit("used", endpoint.last_sent_at);
    visit("heard", endpoint.last_outcome_at);
    visit("often", endpoint.frequently_used);
    visit("health", endpoint.health);
    visit("failure_seen", endpoint.failure_seen);
    visit("failing", endpoint.failure_share);
    visit("refused_row", endpoint.refusals_in_row);
    visit("last_good", endpoint.last_success_at);
    visit("refused_at", endpoint.last_refusal_at);
    visit("lost_at", endpoint.connection_lost_at);
    visit("unconnected_at", endpoint.connect_refused_at);
    visit("fell", endpoint.unhealthy_since);
    visit("knowing", endpoint.informed_share);
    visit("returned", endpoint.recovering_since);
    visit("cold_tag", endpoint.recovery_tag);
}
void visit_fields(auto& destination, auto& visit) requires requires { destination.held; }
{
    visit_fields(destination.shared_limiter, visit);
    visit("usual", destination.typical_latency_s);
    visit("asked", destination.arrival_rate_per_s);
    visit("asked_at", destination.last_arrival_at);
    visit("served_rate", destination.success_rate_per_s);
    visit("taken_rate", destination.peak_success_rate_per_s);
    visit("first_served", destination.first_success_at);
    visit("last_served", destination.last_success_at);
}

}  // namespace cometspoke
