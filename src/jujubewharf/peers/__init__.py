"""Protocol between instances: typed msgpack messages over byte streams."""
