"""Orders to engines: leases on the log, and what is ordered under them."""
