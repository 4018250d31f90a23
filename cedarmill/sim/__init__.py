"""Adapter to the simulator: its binary protocol, and a process that runs one balancer per instance."""
