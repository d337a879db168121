"""The daemons `copperloom-entry` and `copperloom-front`."""
