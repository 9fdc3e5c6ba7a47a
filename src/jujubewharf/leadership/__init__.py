"""Leader election, and request placement by the leader for all instances.

With hundreds of instances and a few dozen engines each instance sees only a
small fraction of all requests. A single instance can't tell which engine has
free memory, what requests cost or which retry-after a refused caller should
get, and the platform's store could not bear hundreds of readers.

The instances therefore elect a leader through a group on the platform's store,
and each keeps one link to it. Safety doesn't depend on the leader: engines
check its placements themselves, and an instance without a link reads the store
and places its requests on its own.
"""
