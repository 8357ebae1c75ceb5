"""What every package uses: ids, effects, answers, bounds, settings and the slab."""
