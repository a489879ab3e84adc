//! The operations on files that a log needs, so that tests can stand in for the file system.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use super::error::{IoContext, Operation, WriteAheadLogError};

/// An open file.
pub trait DirectoryFile: fmt::Debug {
    /// Writes all bytes from an offset on.
    ///
    /// # Errors
    ///
    /// If the file system refuses.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Sets the length in bytes.
    ///
    /// # Errors
    ///
    /// If the file system refuses.
    fn set_length(&mut self, length: u64) -> io::Result<()>;
    /// Returns when all that was written is durable.
    ///
    /// # Errors
    ///
    /// If the file system refuses.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of files.
pub trait Directory {
    /// Its open files.
    type File: DirectoryFile;

    /// The names of all files.
    ///
    /// # Errors
    ///
    /// If the file system refuses.
    fn list(&self) -> io::Result<Vec<String>>;
    /// A file's length in bytes.
    ///
    /// # Errors
    ///
    /// If the file system refuses.
    fn length(&self, name: &str) -> io::Result<u64>;
    /// A file's content.
    ///
    /// # Errors
    ///
    /// If the file system refuses.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file; one of that name is emptied.
    ///
    /// # Errors
    ///
    /// If the file system refuses.
    fn create_file(&self, name: &str) -> io::Result<Self::File>;
    /// Opens a file for writing.
    ///
    /// # Errors
    ///
    /// If the file system refuses.
    fn open_file(&self, name: &str) -> io::Result<Self::File>;
    /// Renames a file, in the place of another one of the new name.
    ///
    /// # Errors
    ///
    /// If the file system refuses.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// If the file system refuses.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Returns when renames and removals are durable.
    ///
    /// # Errors
    ///
    /// If the file system refuses.
    fn sync(&self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Clone, Debug)]
pub struct FileSystemDirectory {
    path: PathBuf,
}

impl FileSystemDirectory {
    /// Creates the directory if it is not there.
    ///
    /// # Errors
    ///
    /// If it is not there and can't be created.
    pub fn create(path: &Path) -> Result<Self, WriteAheadLogError> {
        fs::create_dir_all(path).during(Operation::Create, &path.to_string_lossy())?;
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
