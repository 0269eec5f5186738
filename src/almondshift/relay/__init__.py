"""Routes callers' requests over engines that pass work among themselves."""
