"""The admission level: which requests the whole cluster rejects at once when more is wanted than there is.

Its state, the controller that moves it while an entry is applied, and a node's gate; no I/O, no clock.
"""
