//! What happens to one request, from its last byte read to its one answer.
