"""One request's life: key, claim, attempts, answer, cleanup."""
