"""Health of executors without I/O: verdicts by checks, agents and attempts; the cost of probes; codecs."""
