"""The traffic plan over time, decided while an entry is applied: zones' statuses, moves, evacuations, trust.

`traffic_plan/` says where traffic should go, this package when and how fast. Every replica computes the same
plan under the same epoch. No I/O, no clock but the cluster's.
"""
