"""What old and new programs share between sockets and decisions."""
