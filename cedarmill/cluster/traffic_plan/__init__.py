"""Planning of traffic between zones: layout, allocation of demand to slots, and route weights.

The functions are pure: no I/O and no clock. `traffic_control/` decides when and how fast a plan changes.
"""
