"""Views of the engines' load and the decisions made from them."""
