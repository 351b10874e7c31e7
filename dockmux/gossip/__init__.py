"""Usage summaries of the engines, spread among the daemons."""
