"""What many processes of the program agree on: who lives, who may be out, releases; no I/O."""
