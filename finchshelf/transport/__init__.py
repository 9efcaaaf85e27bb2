"""HTTP/1.1 between clients, a program and servers; what a program's words mean stays with that program."""
