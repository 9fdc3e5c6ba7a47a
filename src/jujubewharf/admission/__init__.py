"""Order in which waiting requests are served, by class and client account.

The decisions have no network access and no tasks; clock readings are passed in.
The wait queue for decode memory and the permit queue of plain calls use them.
"""
