"""Traffic between zones in virtual time: flows of requests, the incidents played on them, and mutants.

No single requests are simulated here, only their rates.
"""
