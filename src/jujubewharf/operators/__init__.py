"""The operator RPC."""
