"""Which servers and limiters there are: records, which news wins, who is asked. No I/O, no clock."""
