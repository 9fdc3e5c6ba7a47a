"""Small stand-ins for engines, endpoints and the platform, for tests."""
