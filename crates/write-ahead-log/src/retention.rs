//! Removes obsolete files and measures the disk usage of the log.

use super::directory::Directory;
use super::format::{self, SegmentNumber};

/// Removes segments and snapshots with a number below `first_kept`, and temporary files. If a removal fails, the next
/// call tries it again; until then recovery ignores the file as long as a newer valid snapshot exists.
pub(crate) fn remove_obsolete_files<D: Directory>(directory: &D, first_kept: SegmentNumber) {
    let names = directory.list().unwrap_or_default();
    for name in names.iter().filter(|name| is_obsolete(name, first_kept)) {
        if let Err(error) = directory.remove(name) {
            log::warn!(file = name.as_str(), error:% = error; "an obsolete file can't be removed");
        }
    }
    if let Err(error) = directory.sync() {
        log::warn!(error:% = error; "removals may not be durable");
    }
}

fn is_obsolete(name: &str, first_kept: SegmentNumber) -> bool {
    let precedes_first_kept = format::parse_file_name(name).is_some_and(|number| number < first_kept);
    precedes_first_kept || format::is_temporary_name(name)
}

/// Total bytes of all files of the log except one; files whose length can't be read are not counted.
pub(crate) fn bytes_except<D: Directory>(directory: &D, excluded: &str) -> u64 {
    let names = directory.list().unwrap_or_default();
    let others = names.iter().filter(|name| format::is_log_file_name(name) && **name != excluded);
    others.filter_map(|name| directory.length(name).ok()).sum()
}
