//! What several test files need.

use std::path::{Path, PathBuf};

/// A directory of its own for each test, removed at its end.
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates one; `name` differs between the tests of all files.
    pub fn new(name: &str) -> TempDir {
        let name = format!("magpieline-gateway-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a directory");
        TempDir(path)
    }

    /// Returns its path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
