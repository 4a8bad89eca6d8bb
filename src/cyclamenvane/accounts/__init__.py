"""Client accounts: who a caller is, and how many calls a second an account may make.

`mesh` imports this package, so its modules import from `mesh` only what does not
import them in turn.
"""

from .model import Account

__all__ = ["Account"]
