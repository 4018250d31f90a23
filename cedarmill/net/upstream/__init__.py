"""Connections to executors: a pool for each, and the attempts and probes that they carry.

Nothing here chooses an executor or retries: that is `decisions/`, by way of `core/dispatch.py`.
"""
