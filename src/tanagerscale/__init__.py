"""Request routing and scheduling for language model engines that share limited memory.

The length of a generation is not known in advance.
"""

from __future__ import annotations

__version__ = "0.1.0"
