"""What tests share: the program under test, its peers' stand-ins, faults below it, builders of its values."""
