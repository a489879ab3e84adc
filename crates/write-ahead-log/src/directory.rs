//! The few operations on files that a log needs.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use super::error::{self, WriteAheadLogError};

/// An open file.
pub trait DirectoryFile: fmt::Debug {
    /// Writes all bytes from an offset on.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Sets the length.
    fn set_length(&mut self, length: u64) -> io::Result<()>;
    /// Returns when all that was written is durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of files.
pub trait Directory {
    /// Its open files.
    type File: DirectoryFile;

    /// The names of all files.
    fn list(&self) -> io::Result<Vec<String>>;
    /// A file's length.
    fn length(&self, name: &str) -> io::Result<u64>;
    /// A file's bytes.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Makes an empty file; one of that name is emptied.
    fn create_file(&self, name: &str) -> io::Result<Self::File>;
    /// Opens a file for writing.
    fn open_file(&self, name: &str) -> io::Result<Self::File>;
    /// Gives a file another name.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Returns when renames and removals are durable.
    fn sync(&self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Clone, Debug)]
pub struct FileSystemDirectory {
    path: PathBuf,
}

impl FileSystemDirectory {
    /// Makes the directory if it is not there.
    pub fn create(path: &Path) -> Result<Self, WriteAheadLogError> {
        let made = fs::create_dir_all(path);
        made.map_err(|source| error::io("create", &path.to_string_lossy(), source))?;
        Ok(FileSystemDirectory { path: path.to_owned() })
    }
}

impl Directory for FileSystemDirectory {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        Ok(names)
    }

    fn length(&self, name: &str) -> io::Result<u64> {
        Ok(fs::metadata(self.path.join(name))?.len())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create_file(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().write(true).create(true).truncate(true).open(self.path.join(name))
    }

    fn open_file(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().write(true).open(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl DirectoryFile for File {
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.seek(SeekFrom::Start(offset))?;
        self.write_all(bytes)
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_all()
    }
}
