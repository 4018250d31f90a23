"""The replicated state machine: the commands of the log, by concern, and how each changes the agreed state.
No I/O, no clock, no randomness: replicas that apply the same entries hold the same state to the last byte.
"""
