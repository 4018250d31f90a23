"""Where traffic goes between zones: layout, allocation of demand to slots, route weights; pure functions.

No I/O, no clock, and no rule of when or how fast a plan changes (`traffic_control/` has these).
"""
