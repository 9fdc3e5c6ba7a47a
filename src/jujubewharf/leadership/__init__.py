"""One instance that sees all: it reads the store and places requests for all.

The load this answers: hundreds of instances before a few dozen engines. Each
sees one request in hundreds, so none could know which engine has room, what
requests cost or how long a refused caller should stay away; and each of them
reading the platform's store for itself would cost more than what they serve.

The instances elect a leader by a group on the platform's store and keep one
link to it. Nothing depends on it for safety: what the leader says is checked
by engines themselves, and an instance without a link reads the store and
places its requests by itself.
"""
