"""Forwards HTTP requests unchanged to the services behind the router.

Callers use each service's own protocol. The router reads only what routing
needs: the service, whether the request may be repeated, its time limit and its
size.
"""
