//! The settings file of a machine.

use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::error::{IoSnafu, Result};
use crate::machine::Machine;

/// The path of a machine's settings file.
pub(super) fn path(folder: &Path, machine: &Machine) -> PathBuf {
    folder.join(format!("{}.yaml", machine.name))
}

/// Writes a machine's settings file.
pub(super) fn write(folder: &Path, machine: &Machine, text: &str) -> Result<()> {
    let path = path(folder, machine);
    std::fs::write(&path, text).with_context(|_| IoSnafu { action: format!("write {}", path.display()) })
}
