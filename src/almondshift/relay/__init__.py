"""Routes callers' requests to engines that form pipelines among themselves."""
