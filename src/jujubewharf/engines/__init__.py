"""What the system says to engines, behind one small typed interface."""
