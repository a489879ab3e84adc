//! The sources of the repository, for tests that read them.

use std::fs;
use std::path::{Path, PathBuf};

/// Adds all Rust sources below a folder.
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
