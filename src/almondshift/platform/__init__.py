"""Names, formats and calls of the operators' platform; decides nothing."""
