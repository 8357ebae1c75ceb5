"""Test tools beside the product: stand-ins, the fleet's runner, the load."""
