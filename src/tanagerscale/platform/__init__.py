"""The platform's names and shapes, translated to the product's own and back; nothing else."""

from __future__ import annotations

from tanagerscale.platform._edges import make_edges

__all__ = ["make_edges"]
