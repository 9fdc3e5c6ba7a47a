"""The experiment tool: real entry code on a virtual clock."""
