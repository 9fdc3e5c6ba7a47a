"""Requests passed on unchanged: routes, placement, the life of a call.

Callers here speak to the services behind the system in those services' own
words. Nothing of a request or an answer is understood but what routing needs:
which service, what may be repeated, how long it may take, how large it is.
"""
