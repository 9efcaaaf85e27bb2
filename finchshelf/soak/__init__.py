"""The soak: the programs as they are deployed, on one machine, under troubles drawn from a seed.

Real processes, real sockets and real disks on loopback addresses. Clients, servers and operators keep their
own ledgers, and the judge compares these, not what the programs say. Nothing that serves imports this.
"""
