//! Checks of values against the bytes that an earlier version of the programs wrote (`tests/data/README.md`).
//!
//! Types and fields in the tests that use this may be renamed; the files must stay unchanged.

#![allow(dead_code, reason = "each test program uses a part of it")]

use std::fmt::{Debug, Write};
use std::path::{Path, PathBuf};
use std::{fs, str};

/// A value and the name of its line in a file.
#[derive(Debug)]
pub(crate) struct Case<T> {
    /// The first word of the line.
    pub name: &'static str,
    /// The decoded bytes of the line.
    pub value: T,
}

impl<T> Case<T> {
    /// A value under the name of its line.
    pub(crate) fn new(name: &'static str, value: T) -> Self {
        Case { name, value }
    }
}

/// Checks that each line of a file decodes to the value of its case, and that the value encodes to the same bytes.
///
/// # Panics
///
/// If a value or its bytes differ, or if the names of the lines differ from those of the cases.
pub(crate) fn check_stored<T: Debug + PartialEq>(
    file: &str,
    cases: &[Case<T>],
    encode: impl Fn(&T) -> Vec<u8>,
    decode: impl Fn(&[u8]) -> T,
) {
    let text = fs::read_to_string(stored_path(file)).expect("the file of stored bytes");
    let names: Vec<&str> = text.lines().filter_map(|line| line.split(' ').next()).collect();
    let expected_names: Vec<&str> = cases.iter().map(|case| case.name).collect();
    assert_eq!(names, expected_names, "lines of {file}");
    for (line, case) in text.lines().zip(cases) {
        let (name, stored) = line.split_once(' ').expect("a name and bytes");
        assert_eq!(decode(&from_hex(stored)), case.value, "{file}, decoded: {name}");
        assert_eq!(to_hex(&encode(&case.value)), stored, "{file}, encoded: {name}");
    }
}

/// Checks that a directory has the same files with the same bytes as a stored directory.
///
/// # Panics
///
/// If a file is missing, additional or different.
pub(crate) fn check_stored_directory(directory: &str, written: &Path) {
    let stored = stored_path(directory);
    assert_eq!(file_names(written), file_names(&stored), "files of {directory}");
    for name in file_names(&stored) {
        let expected = fs::read(stored.join(&name)).expect("a stored file");
        let found = fs::read(written.join(&name)).expect("a written file");
        assert_eq!(to_hex(&found), to_hex(&expected), "{directory}/{name}");
    }
}

/// Copies a stored directory, so that a test can open and modify the copy.
///
/// # Panics
///
/// If the directory can't be read, or the target can't be written.
pub(crate) fn copy_stored_directory(directory: &str, target: &Path) {
    let stored = stored_path(directory);
    fs::create_dir_all(target).expect("a folder for the copy");
    for name in file_names(&stored) {
        fs::copy(stored.join(&name), target.join(&name)).expect("a copy of a stored file");
    }
}

/// Creates an empty directory for a test in the build folder.
///
/// # Panics
///
/// If the directory can't be emptied or created.
pub(crate) fn scratch_directory(name: &str) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    if directory.exists() {
        fs::remove_dir_all(&directory).expect("the directory of an earlier run is removed");
    }
    fs::create_dir_all(&directory).expect("an empty directory");
    directory
}

/// Path of a stored file or directory.
pub(crate) fn stored_path(name: &str) -> PathBuf {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let folders = package.ancestors().map(|folder| folder.join("tests/data/c2874cb"));
    folders.into_iter().find(|folder| folder.is_dir()).expect("the folder of stored bytes").join(name)
}

/// Encodes bytes as hexadecimal digits.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    let mut digits = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        write!(digits, "{byte:02x}").expect("write to a string");
    }
    digits
}

/// Decodes hexadecimal digits.
///
/// # Panics
///
/// If a character is not a hexadecimal digit, or if the number of digits is odd.
pub(crate) fn from_hex(digits: &str) -> Vec<u8> {
    let pairs = digits.as_bytes().chunks_exact(2);
    assert!(pairs.remainder().is_empty(), "an odd number of digits");
    let byte = |pair: &[u8]| {
        let pair = std::str::from_utf8(pair).expect("digits");
        u8::from_str_radix(pair, 16).expect("hexadecimal digits")
    };
    pairs.map(byte).collect()
}

fn file_names(directory: &Path) -> Vec<String> {
    let entries = fs::read_dir(directory).expect("a directory");
    let name = |entry: std::io::Result<fs::DirEntry>| {
        entry.expect("an entry of a directory").file_name().into_string().expect("a plain name")
    };
    let mut names: Vec<String> = entries.map(name).collect();
    names.sort();
    names
}
