"""Parts that the scripts of the second review share."""
