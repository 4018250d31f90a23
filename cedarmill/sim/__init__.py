"""The simulator: its binary wire, and the adapter that lets one balancer per instance act on it."""
