"""In-process fakes of the platform's table service and targets, for tests."""
