"""Files that come with the package."""
