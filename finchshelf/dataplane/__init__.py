"""The data plane: carries the traffic of one limiter."""
