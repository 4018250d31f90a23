"""The decision module: where a job goes, what is cut, refused, sent again or probed. No I/O, no clock."""
