"""Who is here: the live list joined with heartbeats between peers."""
