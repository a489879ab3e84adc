//! The file operations that a log needs, as traits that tests implement in memory.

use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use super::error::{IoContext, Operation, WriteAheadLogError};

/// An open file.
pub trait DirectoryFile: fmt::Debug {
    /// Writes all bytes at an offset.
    ///
    /// # Errors
    ///
    /// If the I/O operation fails.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// Truncates or extends the file to a length in bytes.
    ///
    /// # Errors
    ///
    /// If the I/O operation fails.
    fn set_length(&mut self, length: u64) -> io::Result<()>;
    /// Syncs the content to disk: all earlier writes are durable on return.
    ///
    /// # Errors
    ///
    /// If the I/O operation fails.
    fn sync(&mut self) -> io::Result<()>;
}

/// A directory of files.
pub trait Directory {
    /// The type of an open file.
    type File: DirectoryFile;

    /// Lists the names of all files.
    ///
    /// # Errors
    ///
    /// If the I/O operation fails.
    fn list(&self) -> io::Result<Vec<String>>;
    /// The length of a file in bytes.
    ///
    /// # Errors
    ///
    /// If the I/O operation fails.
    fn length(&self, name: &str) -> io::Result<u64>;
    /// Reads the content of a file.
    ///
    /// # Errors
    ///
    /// If the I/O operation fails.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;
    /// Creates an empty file, or truncates an existing one.
    ///
    /// # Errors
    ///
    /// If the I/O operation fails.
    fn create_file(&self, name: &str) -> io::Result<Self::File>;
    /// Opens a file for writing.
    ///
    /// # Errors
    ///
    /// If the I/O operation fails.
    fn open_file(&self, name: &str) -> io::Result<Self::File>;
    /// Renames a file and replaces any existing file of the new name.
    ///
    /// # Errors
    ///
    /// If the I/O operation fails.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file.
    ///
    /// # Errors
    ///
    /// If the I/O operation fails.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Syncs the directory to disk: all earlier creations, renames and removals are durable on return.
    ///
    /// # Errors
    ///
    /// If the I/O operation fails.
    fn sync(&self) -> io::Result<()>;
}

/// A directory of the file system.
#[derive(Clone, Debug)]
pub struct FileSystemDirectory {
    path: PathBuf,
}

impl FileSystemDirectory {
    /// Creates the directory if it does not exist.
    ///
    /// # Errors
    ///
    /// If the directory does not exist and can't be created.
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
