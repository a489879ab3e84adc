//! Which files of a log are kept.

use super::directory::Directory;
use super::format::{self, SegmentNumber};

/// Removes segments and snapshots before a number, and temporary files. What can't be removed stays until the next
/// call: it is not read as long as a newer snapshot is there.
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
    let is_outdated = format::number_in_name(name).is_some_and(|number| number < first_kept);
    is_outdated || format::is_temporary_name(name)
}

/// Bytes in all files of the log but one; files that can't be measured don't count.
pub(crate) fn bytes_except<D: Directory>(directory: &D, excluded: &str) -> u64 {
    let names = directory.list().unwrap_or_default();
    let others = names.iter().filter(|name| format::is_log_name(name) && **name != excluded);
    others.filter_map(|name| directory.length(name).ok()).sum()
}
