"""The control plane: knows which servers and limiters there are, keeps the configuration and brings it to
all."""
