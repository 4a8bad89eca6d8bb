"""Starts the node of the users' platform from a checkout, without installing it."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from cyclamenvane.platform.daemon import main  # noqa: E402

if __name__ == "__main__":
    main()
