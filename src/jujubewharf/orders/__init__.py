"""Orders to engines, and the leases under which they are sent."""
