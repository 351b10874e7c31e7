"""What every part agrees on: schema, settings, kinds, log catalogue, frames, disk, host seam."""
