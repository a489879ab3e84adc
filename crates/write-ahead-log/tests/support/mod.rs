//! An in-memory directory that simulates full disks, crashes, and power losses that discard unsynced data.

#![allow(dead_code, reason = "each test program uses a part of it")]

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::rc::Rc;

use tulipridge_write_ahead_log::{Directory, DirectoryFile};

/// File contents by name.
pub(crate) type Files = BTreeMap<String, Vec<u8>>;

#[derive(Debug, Default)]
struct Disk {
    files: Files,
    synced: Files,
    /// Names that a directory sync has made durable; a power loss removes all other files.
    durable_names: BTreeSet<String>,
    operations_left: Option<u64>,
    operations_to_failure: Option<u64>,
    bytes_left: Option<u64>,
    capacity: Option<u64>,
    most_bytes: u64,
    removed: Vec<(String, Vec<u8>)>,
}

impl Disk {
    /// The synced content of files whose names are durable.
    fn durable_files(&self) -> Files {
        let synced = self.synced.iter().filter(|(name, _)| self.durable_names.contains(*name));
        synced.map(|(name, content)| (name.clone(), content.clone())).collect()
    }

    fn bytes(&self) -> u64 {
        self.files.values().map(|content| content.len() as u64).sum()
    }

    /// How many of the bytes of a write at the end of a file fit into the capacity.
    fn writable_bytes(&self, file: &str, offset: u64, wanted: usize) -> usize {
        let Some(capacity) = self.capacity else { return wanted };
        let length = self.files.get(file).map_or(0, |content| content.len() as u64);
        let others = self.bytes() - length;
        wanted.min(capacity.saturating_sub(others + offset) as usize)
    }

    fn begin_operation(&mut self) -> io::Result<()> {
        if let Some(operations) = self.operations_to_failure {
            self.operations_to_failure = operations.checked_sub(1);
            if operations == 0 {
                return Err(io::Error::other("injected failure"));
            }
        }
        match &mut self.operations_left {
            Some(0) => Err(io::Error::other("simulated crash")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

/// An in-memory directory. Clones share one disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct MemoryDirectory {
    disk: Rc<RefCell<Disk>>,
}

/// An open file of a [`MemoryDirectory`].
#[derive(Debug)]
pub(crate) struct MemoryFile {
    disk: Rc<RefCell<Disk>>,
    name: String,
}

impl MemoryDirectory {
    /// A directory with files, all of them synced.
    pub(crate) fn with(files: Files) -> Self {
        let directory = MemoryDirectory::default();
        directory.disk.borrow_mut().synced = files.clone();
        directory.disk.borrow_mut().durable_names = files.keys().cloned().collect();
        directory.disk.borrow_mut().files = files;
        directory
    }

    /// Makes every operation fail after this many further changes and syncs; reads always succeed.
    pub(crate) fn crash_after(&self, operations: u64) {
        self.disk.borrow_mut().operations_left = Some(operations);
    }

    /// Whether fewer changes and syncs were made than [`MemoryDirectory::crash_after`] allows.
    pub(crate) fn has_operations_left(&self) -> bool {
        self.disk.borrow().operations_left.is_some_and(|left| left > 0)
    }

    /// Makes one operation fail after this many further changes and syncs.
    pub(crate) fn fail_once_after(&self, operations: u64) {
        self.disk.borrow_mut().operations_to_failure = Some(operations);
    }

    /// Limits the bytes of all further writes; removals do not free any. `None` removes the limit.
    pub(crate) fn limit_bytes(&self, bytes: Option<u64>) {
        self.disk.borrow_mut().bytes_left = bytes;
    }

    /// Limits the total bytes of all files; removals free space. `None` removes the limit.
    pub(crate) fn set_capacity(&self, bytes: Option<u64>) {
        self.disk.borrow_mut().capacity = bytes;
    }

    /// Total bytes of all files.
    pub(crate) fn bytes(&self) -> u64 {
        self.disk.borrow().bytes()
    }

    /// The largest value of [`MemoryDirectory::bytes`] so far.
    pub(crate) fn most_bytes(&self) -> u64 {
        self.disk.borrow().most_bytes
    }

    /// The files after a crash of the process: all writes are kept, synced or not.
    pub(crate) fn files(&self) -> Files {
        self.disk.borrow().files.clone()
    }

    /// The files after a power loss that discards all unsynced changes, removals included.
    pub(crate) fn synced_files(&self) -> Files {
        let disk = self.disk.borrow();
        let mut files = disk.durable_files();
        for (name, content) in &disk.removed {
            files.insert(name.clone(), content.clone());
        }
        files
    }

    /// The files after a power loss that discards unsynced changes except removals.
    pub(crate) fn synced_files_without_removed(&self) -> Files {
        let disk = self.disk.borrow();
        let mut files = disk.durable_files();
        for (name, _) in &disk.removed {
            files.remove(name);
        }
        files
    }
}

impl Directory for MemoryDirectory {
    type File = MemoryFile;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.disk.borrow().files.keys().cloned().collect())
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(self.read(name)?.len() as u64)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let disk = self.disk.borrow();
        disk.files.get(name).cloned().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn create_file(&self, name: &str) -> io::Result<MemoryFile> {
        self.disk.borrow_mut().begin_operation()?;
        self.disk.borrow_mut().files.insert(name.to_owned(), Vec::new());
        self.open_file(name)
    }

    fn open_file(&self, name: &str) -> io::Result<MemoryFile> {
        Ok(MemoryFile { disk: Rc::clone(&self.disk), name: name.to_owned() })
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        disk.begin_operation()?;
        let content = disk.files.remove(from).ok_or(io::ErrorKind::NotFound)?;
        disk.files.insert(to.to_owned(), content);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        disk.begin_operation()?;
        disk.files.remove(name).ok_or(io::ErrorKind::NotFound)?;
        if let Some(content) = disk.synced.get(name).cloned() {
            disk.removed.push((name.to_owned(), content));
        }
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        disk.begin_operation()?;
        disk.removed.clear();
        let names: Vec<String> = disk.files.keys().cloned().collect();
        disk.durable_names = names.iter().cloned().collect();
        let removed_names: Vec<String> =
            disk.synced.keys().filter(|name| !names.contains(name)).cloned().collect();
        let mut removed_contents: Vec<Vec<u8>> = Vec::new();
        for name in removed_names {
            removed_contents.extend(disk.synced.remove(&name));
        }
        for name in names {
            let content = disk.files[&name].clone();
            if !disk.synced.contains_key(&name) && removed_contents.contains(&content) {
                disk.synced.insert(name, content);
            }
        }
        Ok(())
    }
}

impl DirectoryFile for MemoryFile {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        disk.begin_operation()?;
        let writable = disk.bytes_left.map_or(bytes.len(), |left| bytes.len().min(left as usize));
        let writable = writable.min(disk.writable_bytes(&self.name, offset, bytes.len()));
        if let Some(left) = &mut disk.bytes_left {
            *left -= writable as u64;
        }
        let content = disk.files.entry(self.name.clone()).or_default();
        content.truncate(offset as usize);
        content.resize(offset as usize, 0);
        content.extend(&bytes[..writable]);
        disk.most_bytes = disk.most_bytes.max(disk.bytes());
        if writable < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        disk.begin_operation()?;
        disk.files.entry(self.name.clone()).or_default().resize(length as usize, 0);
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut disk = self.disk.borrow_mut();
        disk.begin_operation()?;
        let content = disk.files.get(&self.name).cloned().unwrap_or_default();
        disk.synced.insert(self.name.clone(), content);
        Ok(())
    }
}
