"""Counts of tenants that limiters hold for each other: holder and caller. No I/O, no clock."""
