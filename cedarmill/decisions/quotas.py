"""Tenant quotas: request priorities by tenant load, and this balancer's share of all traffic."""

import math

from cedarmill.decisions import interface as api
from cedarmill.decisions.state import BalancerState

SHARE_TOLERANCE = 1.2  # multiple of the own share of a tenant's quota that the tenant may send
MIN_ALLOWED_REQUESTS = 2.0  # requests per tenant and window that are always within its share
TENANT_WINDOW_US = 4e6  # decay time of a tenant's load
SERVED_WINDOW_US = 30e6  # decay time of served load; longer than most bursts
MIN_COUNTED_US = 2e6  # a shorter time since the first request gives no reliable rate


def _requests_per_window(quota_per_s: float) -> float:
    """Return the requests that a quota allows in the tenant window."""
    return quota_per_s * TENANT_WINDOW_US / 1e6


def _decayed_requests(state: BalancerState, tenant: int) -> float:
    """Return the exponentially decayed number of requests from a tenant."""
    load = state.learned.tenant_loads[tenant]
    return load.requests * math.exp((load.at - state.now) / TENANT_WINDOW_US)


def record_and_prioritize(state: BalancerState, event: api.RequestArrived) -> float:
    """Count a request for its tenant and return its priority weight.

    The weight is that of its class. The more a tenant exceeds its share, the likelier the weight is reduced.
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
    """Return this balancer's share of all traffic by tenant quotas; at least an even share."""
    even_share = 1 / state.settings.instances
    quota_requests = _requests_per_window(sum(tenant.quota_per_s for tenant in state.settings.tenants))
    if not quota_requests:
        return even_share
    observed_requests = sum(
        _decayed_requests(state, tenant) for tenant in range(len(state.learned.tenant_loads))
    )
    return max(even_share, min(1.0, observed_requests / quota_requests))


def record_served(state: BalancerState) -> None:
    """Count a served request."""
    served = state.learned.served
    served.requests = served.requests * math.exp((served.at - state.now) / SERVED_WINDOW_US) + 1.0
    served.at = state.now


def served_share(state: BalancerState) -> float:
    """Return the requests that this balancer served lately, relative to all tenant quotas.

    Unlike traffic shares, the served shares of all balancers add up to about 1 even in bursts and among
    retries, because the executors' capacity limits what is served.
    """
    served = state.learned.served
    quota_per_s = sum(tenant.quota_per_s for tenant in state.settings.tenants)
    if not served.since or not quota_per_s:
        return 0.0
    age_us = max(MIN_COUNTED_US, state.now - served.since)
    counted_s = SERVED_WINDOW_US * (1 - math.exp(-age_us / SERVED_WINDOW_US)) / 1e6
    return served.requests * math.exp((served.at - state.now) / SERVED_WINDOW_US) / (quota_per_s * counted_s)
