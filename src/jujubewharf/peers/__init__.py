"""The inner protocol: typed messages in msgpack over streams."""
