"""Admission decisions: `interface` holds the types, `limiter` decides (`breaker`, `quotas`, `servers`)."""
