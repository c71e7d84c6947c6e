"""The commands of `marjoramctl`."""
