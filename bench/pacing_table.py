#!/usr/bin/env python3
"""Computes how a fleet paces a limit that its forwarders share, under two rules. The script runs no forwarder.

Fair share (the rule of the Sender): each forwarder keeps to limit / n, and its first call waits a random part of
n / limit seconds.
Own traffic: each forwarder estimates the fleet's demand at a destination from its own messages there, shrunk towards
the mean of all its destinations (gamma prior of shape SHAPE), and keeps to its fair share only if the estimate is above
the limit. If the fleet then exceeds the limit, rejections lower the forwarders' rates, as in the Sender.

Columns: the share of messages sent without delay, and the calls a second that the fleet sends before rejections lower
its rate.
"""
import math

LIMIT = 5.0            # calls a second, from all forwarders together
TYPICAL = 0.245        # calls a second from the whole fleet to the mean destination
MEMORY_S = 20.0        # the period over which a forwarder counts its own messages
SHAPE = 0.5            # of the gamma prior: the smaller, the more the destinations differ


def poisson(mean, count):
    return math.exp(-mean + count * math.log(mean) - math.lgamma(count + 1))


def own_traffic_at_once(forwarders, demand):
    mean = TYPICAL / forwarders
    at_once = 0.0
    for count in range(1, 400):
        weight = poisson(demand * MEMORY_S / forwarders, count) * count
        estimate = forwarders * (SHAPE + count) / (SHAPE / mean + MEMORY_S)
        if estimate <= LIMIT:
            at_once += weight
    return at_once / (demand * MEMORY_S / forwarders)


def fair_share_at_once(forwarders, demand):
    """A message is sent at once if the forwarder has no other message in its interval of n / limit seconds."""
    interval = forwarders / LIMIT
    return math.exp(-demand / forwarders * interval)


print(f"{'forwarders':>10} {'demand/s':>9} {'fair share: at once':>19} {'first call waits, s':>20} "
      f"{'own traffic: at once':>21} {'calls/s initially':>17}")
for forwarders in (3, 50, 350, 730):
    for demand in (TYPICAL, 2.5, 10.0):
        share = own_traffic_at_once(forwarders, demand)
        wait_s = (forwarders - 1) / LIMIT / 2
        calls_per_s = share * demand + (1 - share) * min(demand, LIMIT)
        print(f"{forwarders:>10} {demand:>9} {fair_share_at_once(forwarders, demand):>19.3f} {wait_s:>20.1f} {share:>21.3f} {calls_per_s:>17.2f}")
