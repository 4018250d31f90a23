"""Listeners that answer health checks of this node by other load balancers; off unless configured.

Their codecs are in `health/codecs/`. This package does not check executors.
"""
