"""Orders to change engines' roles that are in progress, across leaders."""
