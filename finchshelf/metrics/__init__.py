"""Figures of a running program, told as text over HTTP in the Prometheus format."""
