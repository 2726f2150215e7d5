"""The platform's names and shapes, translated to the product's own and back; nothing else."""
