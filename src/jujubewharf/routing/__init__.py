"""Engine load tracking and request placement."""
