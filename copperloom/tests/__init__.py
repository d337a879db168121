"""System tests of the whole package, and the fixtures that they share."""
