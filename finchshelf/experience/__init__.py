"""Shared experience: what limiters say of servers, who of them is believed, and how a server comes back."""
