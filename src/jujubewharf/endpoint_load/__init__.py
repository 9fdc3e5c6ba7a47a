"""Load that endpoints report in their answers."""
