"""The replicated state machine: log commands, grouped by concern, and their effect on the agreed state.

The package does no I/O and reads neither a clock nor a random source, so replicas that apply the same entries
hold byte-identical state. The texts of notes and outcomes are part of that state.
"""
