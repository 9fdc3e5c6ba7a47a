"""In-memory stand-ins for engines, endpoints and the platform."""
