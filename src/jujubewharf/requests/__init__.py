"""Request execution: keys, claims, attempts, answers and cleanup."""
