"""Connection pools for executors, and the attempts and probes that their connections carry.

Selection and retries are decided in `decisions/`; `core/dispatch.py` passes the decisions on to these pools.
"""
