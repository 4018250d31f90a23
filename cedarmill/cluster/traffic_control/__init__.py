"""Control of the traffic plan over time: zone statuses, weight changes, evacuations and trust.

`traffic_plan/` computes where traffic should go; this package decides when and how fast it moves. The
decisions are made while a log entry is applied, so every replica computes the same plan under the same epoch.
The package does no I/O and uses only the cluster's clock.
"""
