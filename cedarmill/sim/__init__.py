"""The simulator: its binary wire, and the adapter that lets one brain per instance act on it."""
