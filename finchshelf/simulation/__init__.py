"""An in-memory fleet: the real programs in one process and in virtual time, with the harm a day can bring."""
