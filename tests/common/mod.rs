//! What tests of the repository itself share.

use std::fs;
use std::path::{Path, PathBuf};

/// Finds the files below a directory whose names end so; what is built, recorded or collected is left out.
pub fn files(dir: &Path, endings: &[&str], found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("a directory") {
        let path = entry.expect("an entry").path();
        let name = path
            .file_name()
            .and_then(|name| name.to_str())
            .unwrap_or_default();
        if path.is_dir() {
            if !matches!(name, "target" | "corpus" | "golden" | "stores") {
                files(&path, endings, found);
            }
        } else if endings.iter().any(|ending| name.ends_with(ending)) {
            found.push(path);
        }
    }
}
