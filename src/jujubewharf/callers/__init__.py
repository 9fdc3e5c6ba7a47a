"""The caller edge: model requests and plain services over HTTP."""
