"""Configuration that operators declare, replicated through the log."""
