"""The command `copperloom` for operators."""
