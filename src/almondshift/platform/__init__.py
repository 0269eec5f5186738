"""Wire names, formats and calls of the operators' platform; no policy."""
