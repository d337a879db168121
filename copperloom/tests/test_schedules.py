"""Tests the fault schedules of the soak test."""

import asyncio
import unittest

from bench import faults, schedules, soak
from copperloom import history


class SchedulesTest(unittest.TestCase):
    def test_same_seed_draws_the_same_schedule(self):
        self.assertEqual(schedules.draw("1/5"), schedules.draw("1/5"))
        self.assertNotEqual(schedules.draw("1/5"), schedules.draw("1/6"))

    def test_all_kinds_of_faults_are_drawn(self):
        drawn = {
            step.kind
            for number in range(200)
            for step in schedules.draw(f"1/{number}").steps
        }
        self.assertEqual(drawn, set(faults.FAULTS))

    def test_schedule_breaks_no_guarantee(self):
        """Guards against broken guarantees under several faults at once."""
        schedule = schedules.Schedule(
            "ci",
            (
                schedules.Step("kill_entry", 0.2, 0.3, 1),
                schedules.Step("link_drops_down", 0.3, 0.3, 2),
                schedules.Step("confirmations_lost", 0.1, 0.5, 3),
                schedules.Step("operators_race", 0.4, 0.1, 4),
            ),
        )
        system = soak.start_system(self)
        trial = asyncio.run(
            soak.run_schedule(self, system, schedule, history.History())
        )
        self.assertEqual(history.check(trial.history), [])


if __name__ == "__main__":
    unittest.main()
