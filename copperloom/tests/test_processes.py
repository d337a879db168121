"""Tests the fixtures that start and stop real processes."""

import unittest

from copperloom.tests import processes


class ProcessesTest(unittest.TestCase):
    def test_standin_replies_until_killed(self):
        platform = processes.start_standin(self, "platform")
        self.assertIn("rows", platform.truth())
        platform.kill()
        self.assertFalse(platform.running())

    def test_frozen_process_does_not_reply_until_resumed(self):
        service = processes.start_standin(self, "service")
        service.freeze()
        with self.assertRaises(OSError):
            processes.call(
                service.address, "GET", "/_standin/truth", limit_s=0.3
            )
        service.resume()
        self.assertEqual(service.truth()["runs"], [])

    def test_settings_error_is_shown_in_the_failure(self):
        with self.assertRaisesRegex(AssertionError, "no_such_key"):
            processes.start_standin(self, "engine", engine={"no_such_key": 1})

    def test_wait_until_names_the_condition_in_its_error(self):
        with self.assertRaisesRegex(AssertionError, "the moon"):
            processes.wait_until(lambda: False, 0.05, "the moon")


if __name__ == "__main__":
    unittest.main()
