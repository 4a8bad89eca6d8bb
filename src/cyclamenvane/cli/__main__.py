"""Runs the command line as `python -m cyclamenvane.cli`."""

from __future__ import annotations

import sys

from .application import main

sys.exit(main())
