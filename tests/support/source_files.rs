//! Search of the repository for source files, for tests that check them.

use std::fs;
use std::path::{Path, PathBuf};

/// Adds all Rust files in a folder and its subfolders to `sources`.
pub(crate) fn sources_below(folder: &Path, sources: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources_below(&path, sources);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            sources.push(path);
        }
    }
}
