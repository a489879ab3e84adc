//! The folder of a tower's log, seen from outside.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::path::Path;

use snafu::ResultExt;

use crate::error::{Result, SystemSnafu};

/// Lengths of the files in a folder, by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Lengths(BTreeMap<String, u64>);

impl Lengths {
    /// Reads a folder; one that is not there has no files.
    pub fn of(folder: &Path) -> Lengths {
        let entries = fs::read_dir(folder).into_iter().flatten().flatten();
        let length = |entry: fs::DirEntry| {
            let length = entry.metadata().ok()?.len();
            Some((entry.file_name().into_string().ok()?, length))
        };
        Lengths(entries.filter_map(length).collect())
    }

    /// Bytes in all files.
    pub fn total(&self) -> u64 {
        self.0.values().sum()
    }
}

/// Bytes that were dropped from the end of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// The file.
    pub file: String,
    /// Bytes that had come since the folder was measured.
    pub unconfirmed: u64,
    /// How many of them were dropped.
    pub bytes: u64,
}

/// Plays the loss of power at a stopped tower, as it leaves a disk that keeps what was synced: drops a random number
/// of bytes from the end of the log, but none that was there when the folder was measured.
///
/// The caller has measured the folder while nothing of what the tower says got out, and kept it so until its end.
/// Nobody was told of anything that was written later, so a disk that lost it before its sync looks the same. Where
/// files have come or gone since, nothing is dropped: their names were synced one by one.
pub fn drop_unconfirmed(folder: &Path, confirmed: &Lengths) -> Result<Option<Dropped>> {
    let found = Lengths::of(folder);
    if !found.0.keys().eq(confirmed.0.keys()) {
        return Ok(None);
    }
    let grown = found.0.iter().find(|(name, length)| **length > confirmed.0[*name]);
    let Some((name, length)) = grown else { return Ok(None) };
    let confirmed = confirmed.0[name];
    let kept = fastrand::u64(confirmed..*length);
    truncate(&folder.join(name), kept)?;
    Ok(Some(Dropped { file: name.clone(), unconfirmed: length - confirmed, bytes: length - kept }))
}

fn truncate(path: &Path, length: u64) -> Result<()> {
    let action = || format!("truncate {}", path.display());
    let file = File::options().write(true).open(path);
    let file = file.with_context(|_| SystemSnafu { action: action() })?;
    file.set_len(length).with_context(|_| SystemSnafu { action: action() })
}

/// Removes a folder and all that is in it.
pub fn wipe(folder: &Path) -> Result<()> {
    match fs::remove_dir_all(folder) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
            Err(error).with_context(|_| SystemSnafu { action: format!("remove {}", folder.display()) })
        }
        _ => Ok(()),
    }
}
