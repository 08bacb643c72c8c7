/// The constants of the decision module (sender.cpp). None of them is a setting.
///
/// Units: a constant of type Time is a duration. A name with the suffix `_s` is in seconds, with `_per_s` in
/// calls or messages a second, with `_calls` in calls in flight; all others are plain factors, shares of 1,
/// exponents or counts. "Fair share" is the limit of a destination divided by the number of senders.
#pragma once

#include <cstdint>

#include "cometspoke/sender.hpp"

namespace cometspoke {

// ---- tags and slots ----

/// An idle destination may save up credit for this many sends (sigma of mClock).
inline constexpr double kMaxIdleCredit_calls = 1.0;
/// The calls to one destination stay below this share of Settings::max_calls.
inline constexpr double kMaxDestinationCallShare = 0.75;
/// The calls to one degraded destination take at most this share of Settings::max_calls, and so do the calls
/// to all degraded endpoints and destinations together.
inline constexpr double kMaxDegradedCallShare = 0.5;

// ---- learning the own limit ----

// The own limit (l) is learned in fair shares, because the calls of all senders together must stay near the
// limit however many senders there are. The exponents below apply to n, the number of senders, because each
// sender sees fewer outcomes the more senders there are. Under a negative exponent n counts as at least 2.

/// A sender uses at most this many fair shares.
inline constexpr double kMaxFairShares = 3.0;
/// At the start a sender uses more than one fair share by this number divided by n.
inline constexpr double kInitialExtraFairShares = 6.0;
/// At the start all senders together may send the calls that the limit allows in this time at once.
inline constexpr Time kInitialBurst{500'000};
/// The k-th refusal since the last success multiplies the share by n to the power of k times this: the first
/// one takes off a third with three senders.
inline constexpr double kRefusalExponent = -1.0 / 3.0;
/// One refusal leaves at least this part of the share.
inline constexpr double kMinRefusalFactor = 0.4;
/// A success multiplies the share by this.
inline constexpr double kSuccessFactor = 1.047;
/// A success also multiplies the share by n to the power of this times the reported remaining share of the
/// limit.
inline constexpr double kRemainingShareExponent = 0.3;
/// The share never falls below n to this power: half a fair share with three senders, 1/18 with a hundred.
inline constexpr double kMinShareExponent = -0.63;
/// Below its ceiling the share doubles in this time without a refusal.
inline constexpr Time kShareDoublingTime{4'500'000};
/// Above the ceiling, which was refused, the share doubles in this time, up to one fair share.
inline constexpr Time kShareDoublingTimeAboveCeiling{8'000'000};
/// The share ceiling is this part of the share that was refused.
inline constexpr double kCeilingPerRefusedShare = 0.85;

// ---- typical latency and silence ----

/// Weight of one sample in the typical latency. It is small, so that an endpoint that becomes slow shows
/// against its typical latency.
inline constexpr double kTypicalLatencyWeight = 0.05;
/// One sample counts as at most this many typical latencies.
inline constexpr double kMaxSampleTypicalLatencies = 3.0;
/// An endpoint is silent when the waiting times summed over its calls since the last success exceed this many
/// typical latencies. A healthy endpoint exceeds it by chance with probability exp(-5).
inline constexpr double kMaxSilenceTypicalLatencies = 5.0;
/// The typical latency counts as at least this, because silence is checked only at intervals.
inline constexpr Time kMinTypicalLatency{50'000};
/// The typical latency before any latency is known.
inline constexpr Time kInitialTypicalLatency{500'000};
/// The own success rate reflects the successes of about this time.
inline constexpr double kSuccessRateMemory_s = 5.0;

// ---- detecting an outage ----

/// Each outcome weighs at least this much in the failure share: two failures in a row from 0 make 0.51.
inline constexpr double kMinOutcomeWeight = 0.3;
/// Outcomes older than this say little about the present, so that a single failure after them marks an
/// outage.
inline constexpr double kOutcomeMemory_s = 4.0;
/// A rate limit never asks for a longer wait: the endpoint is closed, and opens when the wait ends.
inline constexpr Time kMaxRateLimitWait{2'500'000};
/// A refusal with more than this share of the limit remaining also comes from a closed endpoint.
inline constexpr double kMaxRemainingShareAtLimit = 0.9;
/// A connect that fails after a longer time reached nobody: no connection limit refused it.
inline constexpr Time kMaxRefusedConnectTime{500'000};
/// Above this failure share most calls fail, and the endpoint is unhealthy.
inline constexpr double kMaxHealthyFailureShare = 0.5;
/// Weight of a malformed response or a lost connection in the failure share: seven in a row mark an outage.
inline constexpr double kMalformedResponseWeight = 0.1;
/// After this many refusals in a row, with no success between them, the endpoint is taken to be closed and
/// not to be above a limit.
inline constexpr int kClosedAfterRefusals = 3;

// ---- probing and slow start ----

/// The pause between at-most-once probes of an endpoint doubles at most this often.
inline constexpr int kMaxProbePauseDoublings = 10;
/// Above this failure share at-most-once messages wait.
inline constexpr double kMaxAtMostOnceFailureShare = 0.2;
/// Part of the recovery budget (the rate allowed to an endpoint that is not healthy) that is used, since
/// limits lie below the capacity.
inline constexpr double kRecoveryBudgetUse = 0.9;
/// Part of a capacity that is used where it is estimated from the success rate, which varies.
inline constexpr double kEstimatedCapacityUse = 0.75;
/// Every destination is assumed to take at least this many calls a second from all senders.
inline constexpr double kMinCapacity_per_s = 2.0;
/// The own arrival rate reflects the messages of about this time.
inline constexpr double kArrivalRateMemory_s = 20.0;
/// At least this share of the senders is assumed to know of an outage.
inline constexpr double kMinInformedShare = 0.05;
/// All senders together probe an endpoint at least this often in Settings::overload_window.
inline constexpr double kMinProbesPerOverloadWindow = 3.0;
/// Sends to an unhealthy endpoint are at least this far apart, or kMinProbeGapTypicalLatencies if that is
/// shorter.
inline constexpr Time kMinProbeGap{250'000};
/// Alternative to kMinProbeGap, in typical latencies over all destinations.
inline constexpr double kMinProbeGapTypicalLatencies = 2.5;
/// Sends to a recovering endpoint that has had a success since its outage are at least this far apart.
inline constexpr Time kMinRecoveringGap{10'000};

// ---- timeouts and retries ----

/// Timeout in typical latencies of the destination, where a repeat is allowed.
inline constexpr double kTimeoutTypicalLatencies = 8.0;
/// The timeout is at least this, or kMinTimeoutTypicalLatencies if that is shorter.
inline constexpr Time kMinTimeout{1'000'000};
/// Alternative to kMinTimeout, in typical latencies over all destinations.
inline constexpr double kMinTimeoutTypicalLatencies = 12.0;
/// A duration that is scaled to the typical latency over all destinations is at least this.
inline constexpr Time kMinScaledDuration{50'000};
/// The timeout of a call is at least this where calls sent later to the same endpoint were answered first.
inline constexpr Time kMinOvertakenTimeout{200'000};
/// Above this share of Settings::max_calls in flight, stuck calls keep other messages waiting.
inline constexpr double kScarceCallShare = 0.75;
/// Cancelling a call and repeating its message need this much of a deduplication window.
inline constexpr Time kCancelAndRepeatTime{500'000};
/// Pause of a message after its first failed attempt; it doubles with each further one.
inline constexpr Time kInitialRetryPause{50'000};
/// The pause after a failed attempt doubles at most this often.
inline constexpr std::uint32_t kMaxRetryPauseDoublings = 4;
/// The platform has received the notice of an end within this time; only then the next message of the key
/// goes.
inline constexpr Time kEndNoticeTime{100'000};
/// A message is sent again only until this long before its deduplication window closes.
inline constexpr Time kDedupWindowMargin{100'000};
/// A call is written only until this long before the deadline of its message. One that is written later may
/// reach its endpoint when the end of the message has been reported.
inline constexpr Time kMinTimeLeftToStart{5'000};
/// While calls are in flight, silent endpoints are looked for at this interval.
inline constexpr Time kSilenceCheckInterval{100'000};

// ---- choosing an endpoint ----

/// A new connection costs as much as this many calls in flight.
inline constexpr double kNewConnectionCost_calls = 0.7;
/// An endpoint in another zone costs as much as this many calls in flight.
inline constexpr double kOtherZoneCost_calls = 0.4;
/// One point of Settings::zone_costs weighs as much as this many calls in flight.
inline constexpr double kZoneCostPoint_calls = 20.0;
/// After a connect was refused, idle connections are closed for this long, since connection limits seldom
/// change.
inline constexpr Time kRefusedConnectMemory{60'000'000};

// ---- backlog ----

/// This share of Settings::max_held_messages is kept free for messages of a higher utility.
inline constexpr double kFreeHeldShare = 0.1;
/// Every destination is assumed to take at least this many messages a second from all senders.
inline constexpr double kMinDrainRate_per_s = 1.5;
/// Longest stall that is expected. It exceeds every deadline, so that a longer one makes no difference.
inline constexpr Time kMaxExpectedStall{60'000'000};
/// A tenant may use up the quota of this time at once.
inline constexpr Time kMaxQuotaBurst{1'000'000};

// ---- housekeeping ----

/// State that nothing refers to any more is looked for at this interval at most.
inline constexpr Time kCleanupInterval{1'000'000};
/// What was learned of a destination says nothing about it after this time.
inline constexpr Time kLearnedStateLifetime{60'000'000};
/// First pause after a failed call for the list of endpoints; it doubles with each further one.
inline constexpr Time kInitialWatchPause{500'000};
/// The pause after a failed call for the list doubles at most this often.
inline constexpr int kMaxWatchPauseDoublings = 4;

}  // namespace cometspoke
