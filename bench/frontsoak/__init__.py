"""A randomised soak of copperloom-front: processes, faults from outside."""
