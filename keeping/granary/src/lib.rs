//! What a sorting machine keeps on disk.
