"""What operators declared, folded from the platform's log."""
