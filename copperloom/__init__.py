"""Copperloom: a serving layer for prompts of very unlike lengths."""

from copperloom.configuration import (
    Change,
    Configuration,
    Deployment,
    Organisation,
    Preset,
    Target,
)
from copperloom.exception import CopperloomError, Run
from copperloom.messages import Placement, Refusal, Request

__version__ = "0.1.0"
