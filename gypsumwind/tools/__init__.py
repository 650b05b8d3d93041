"""Command-line tool of operators."""
