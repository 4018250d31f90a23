"""Tenant quotas: a request's priority by what its tenant sends, and this balancer's part of all traffic."""

import math

from cedarmill.decisions import interface as api
from cedarmill.decisions.state import BalancerState

SHARE_TOLERANCE = 1.2  # times this balancer's part of a tenant's quota: above it, traffic is over its share
MIN_ALLOWED_REQUESTS = 2.0  # requests of a tenant in the window that are never over its share
TENANT_WINDOW_US = 4e6  # in which a tenant's load decays
SERVED_WINDOW_US = 30e6  # in which what was served here decays: longer than most bursts
MIN_COUNTED_US = 2e6  # a shorter time since the first request says little of a balancer's part


def _requests_per_window(quota_per_s: float) -> float:
    """Requests that a quota allows in the tenants' window."""
    return quota_per_s * TENANT_WINDOW_US / 1e6


def _decayed_requests(state: BalancerState, tenant: int) -> float:
    """Requests of a tenant that came here in its window, the older ones counting less."""
    load = state.learned.tenant_loads[tenant]
    return load.requests * math.exp((load.at - state.now) / TENANT_WINDOW_US)


def record_and_prioritize(state: BalancerState, event: api.RequestArrived) -> float:
    """Count a request for its tenant; its priority: its class's weight, less for what is over the share.

    The more a tenant sends beyond its share, the likelier each of its requests weighs less.
    """
    request_class = state.settings.classes[event.job_class]
    loads = state.learned.tenant_loads
    if event.tenant >= len(loads):
        return request_class.worth
    requests = _decayed_requests(state, event.tenant) + 1.0
    loads[event.tenant].requests, loads[event.tenant].at = requests, state.now
    own_share = state.learned.own_held_slots / state.learned.all_held_slots
    allowed = _requests_per_window(
        SHARE_TOLERANCE * own_share * state.settings.tenants[event.tenant].quota_per_s
    )
    is_over_share = (
        requests > max(allowed, MIN_ALLOWED_REQUESTS) and state.random.random() > allowed / requests
    )
    return request_class.worth * (state.settings.over_share_worth if is_over_share else 1.0)


def traffic_share(state: BalancerState) -> float:
    """This balancer's part of all traffic: at least an even one, else what it sees of the quotas."""
    even_share = 1 / state.settings.instances
    quota_requests = _requests_per_window(sum(tenant.quota_per_s for tenant in state.settings.tenants))
    if not quota_requests:
        return even_share
    observed_requests = sum(
        _decayed_requests(state, tenant) for tenant in range(len(state.learned.tenant_loads))
    )
    return max(even_share, min(1.0, observed_requests / quota_requests))


def record_served(state: BalancerState) -> None:
    """Count a request that was served here."""
    served = state.learned.served
    served.requests = served.requests * math.exp((served.at - state.now) / SERVED_WINDOW_US) + 1.0
    served.at = state.now


def served_share(state: BalancerState) -> float:
    """What this balancer served lately, over the tenants' quotas.

    All balancers serve no more than the executors can, however much comes: unlike what a balancer sees of the
    quotas, these parts add up to about one in a burst and among retries too.
    """
    served = state.learned.served
    quota_per_s = sum(tenant.quota_per_s for tenant in state.settings.tenants)
    if not served.since or not quota_per_s:
        return 0.0
    age_us = max(MIN_COUNTED_US, state.now - served.since)
    counted_s = SERVED_WINDOW_US * (1 - math.exp(-age_us / SERVED_WINDOW_US)) / 1e6
    return served.requests * math.exp((served.at - state.now) / SERVED_WINDOW_US) / (quota_per_s * counted_s)
