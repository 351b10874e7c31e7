"""The data plane of the product's own interface: admission, engine selection, calls to engines, streaming, metrics."""
