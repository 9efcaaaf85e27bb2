"""The command line of the whole system, for a person and for scripts; the two programs never load it."""
