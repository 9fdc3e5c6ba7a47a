"""A whole deployment on loopback, for the demonstration and for tests."""
