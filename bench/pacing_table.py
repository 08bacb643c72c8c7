#!/usr/bin/env python3
"""Computes how a fleet would pace a limit that its forwarders share, by two rules. Nothing here runs a forwarder.

Even part: each forwarder holds to limit / n; its first call waits a random part of n / limit seconds, as now.
Own traffic: each forwarder estimates the fleet's demand at a destination from its own messages there, shrunk towards
the mean of all its destinations (gamma prior of shape SHAPE), and holds to an even part only where the estimate is above
the limit. Above it, refusals teach, as now.

Columns: messages that go at once (share), and calls a second that the fleet sends until refusals have taught it.
"""
import math

LIMIT = 5.0            # calls a second, from all forwarders together
TYPICAL = 0.245        # calls a second at the mean destination, from the whole fleet
MEMORY_S = 20.0        # for so long a forwarder counts its own messages
SHAPE = 0.5            # of the prior: how unlike destinations are


def poisson(mean, count):
    return math.exp(-mean + count * math.log(mean) - math.lgamma(count + 1))


def own_traffic(forwarders, demand):
    mean = TYPICAL / forwarders
    at_once = 0.0
    for count in range(1, 400):
        weight = poisson(demand * MEMORY_S / forwarders, count) * count
        estimate = forwarders * (SHAPE + count) / (SHAPE / mean + MEMORY_S)
        if estimate <= LIMIT:
            at_once += weight
    return at_once / (demand * MEMORY_S / forwarders)


def even_part(forwarders, demand):
    """A message goes at once where the forwarder's gap of n / limit seconds holds no other message of its own."""
    gap = forwarders / LIMIT
    return math.exp(-demand / forwarders * gap)


print(f"{'forwarders':>10} {'demand/s':>9} {'even part: at once':>19} {'first call waits, s':>20} "
      f"{'own traffic: at once':>21} {'calls/s untaught':>17}")
for forwarders in (3, 50, 350, 730):
    for demand in (TYPICAL, 2.5, 10.0):
        share = own_traffic(forwarders, demand)
        wait = (forwarders - 1) / LIMIT / 2
        untaught = share * demand + (1 - share) * min(demand, LIMIT)
        print(f"{forwarders:>10} {demand:>9} {even_part(forwarders, demand):>19.3f} {wait:>20.1f} {share:>21.3f} {untaught:>17.2f}")
