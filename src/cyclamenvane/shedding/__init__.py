"""Admission of root calls when targets reject calls: decisions without input or output.

`mesh` imports this package, so its modules import nothing from `mesh` at run time.
"""

from .shedder import LoadShedder, Shortage

__all__ = ["LoadShedder", "Shortage"]
