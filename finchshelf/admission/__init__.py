"""Admission decisions: `interface` holds the types, `logic` decides."""
