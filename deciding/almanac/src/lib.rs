//! What operators say: the settings file, configurations with their checks, and the table of routes.
