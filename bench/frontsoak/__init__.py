"""A randomised soak of copperloom-front, which injects faults from outside."""
