//! Agreement among the sorting machines: a replicated log.
