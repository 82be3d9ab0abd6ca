//! The ledger of the rules (`docs/gateway/rules.md`) names files and tests that exist.

mod common;

use common::files;
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

const LEDGER: &str = "docs/gateway/rules.md";

/// Returns what stands between backticks in the rows of the ledger's tables.
fn quoted(ledger: &str) -> Vec<&str> {
    let rows = ledger.lines().filter(|line| line.starts_with("| "));
    rows.flat_map(|row| row.split('`').skip(1).step_by(2))
        .collect()
}

/// Returns the names of all functions below the directories that hold code.
fn function_names(root: &Path) -> BTreeSet<String> {
    let mut sources = Vec::new();
    for dir in ["crates", "src", "tests", "tools"] {
        files(&root.join(dir), &[".rs"], &mut sources);
    }
    let names = |path: PathBuf| {
        let text = fs::read_to_string(path).expect("text");
        let definitions = text.split("fn ").skip(1);
        let name = |rest: &str| {
            let end = rest.find(|c: char| !c.is_ascii_alphanumeric() && c != '_');
            rest[..end.unwrap_or(rest.len())].to_owned()
        };
        definitions.map(name).collect::<Vec<_>>()
    };
    sources.into_iter().flat_map(names).collect()
}

/// Guards against a ledger that names what was moved or renamed: nobody would notice that a rule has lost its test.
#[test]
fn the_ledger_names_files_and_tests_that_exist() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let ledger = fs::read_to_string(root.join(LEDGER)).expect("the ledger");
    let functions = function_names(root);
    let exists = |name: &str| match name.contains('/') {
        true => root.join(name).exists(),
        false => functions.contains(name),
    };
    let names = quoted(&ledger);
    let missing: Vec<&&str> = names.iter().filter(|name| !exists(name)).collect();
    assert!(names.len() > 50, "only {} names", names.len());
    assert!(
        missing.is_empty(),
        "{LEDGER} names what is not there: {missing:?}"
    );
}
