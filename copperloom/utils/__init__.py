"""Small helpers shared by the subpackages."""
