//! The list of mutations.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use snafu::{OptionExt, ResultExt, Snafu};
use toml_edit::{DocumentMut, Table, TomlError};

/// The name of the file's array of tables, with one table for each mutation.
const ENTRIES: &str = "mutation";

/// A change of the sources that removes a mechanism.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mutation {
    /// The mutation's unique name.
    pub id: String,
    /// The source file, relative to the repository.
    pub file: PathBuf,
    /// The text that is replaced, which must occur in the file exactly once.
    pub find: String,
    /// The text that replaces `find`.
    pub replace: String,
    /// The test that must fail with the mutation.
    pub test: TestId,
}

/// The location of a test function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestId {
    /// The package: the name of its folder in `crates`, or `tulipridge` for the gateway.
    pub package: String,
    /// The file in the folder `tests`, without its extension.
    pub target: String,
    /// The function, without the names of its cases.
    pub function: String,
}

/// The reason why a list of mutations is invalid.
#[derive(Debug, Snafu)]
pub enum MutationListError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The path of the list.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not TOML.
    #[snafu(display("{}: {source}", path.display()))]
    Syntax {
        /// The path of the list.
        path: PathBuf,
        /// The parser's error.
        source: TomlError,
    },
    /// The file has no entries.
    #[snafu(display("no [[{ENTRIES}]] table in {}", path.display()))]
    Empty {
        /// The path of the list.
        path: PathBuf,
    },
    /// A key of an entry is missing or its value is not a string.
    #[snafu(display("entry {index}: '{key}' must be a string"))]
    MissingKey {
        /// The index of the entry, from 0.
        index: usize,
        /// The name of the key.
        key: &'static str,
    },
    /// The test of an entry is not written as package, file and function.
    #[snafu(display("entry {index}: test '{test}' must have the form PACKAGE FILE FUNCTION"))]
    InvalidTest {
        /// The index of the entry, from 0.
        index: usize,
        /// The invalid value.
        test: String,
    },
}

impl TestId {
    /// The path of the package's folder, relative to the repository.
    #[must_use]
    pub fn package_folder(&self) -> PathBuf {
        match self.package.as_str() {
            "tulipridge" => PathBuf::new(),
            name => Path::new("crates").join(name),
        }
    }

    /// The name of the package in its manifest.
    #[must_use]
    pub fn package_name(&self) -> String {
        match self.package.as_str() {
            "tulipridge" => self.package.clone(),
            name => format!("tulipridge-{name}"),
        }
    }

    /// The source file of the test, relative to the repository.
    #[must_use]
    pub fn source_file(&self) -> PathBuf {
        self.package_folder().join("tests").join(format!("{}.rs", self.target))
    }
}

/// Reads a list of mutations.
///
/// # Errors
/// If the file can't be read, is not TOML or has no entries, or if an entry lacks a key or has an invalid test.
pub fn read_list(path: &Path) -> Result<Vec<Mutation>, MutationListError> {
    let text = fs::read_to_string(path).context(UnreadableSnafu { path })?;
    let document: DocumentMut = text.parse().context(SyntaxSnafu { path })?;
    let entries = document.get(ENTRIES).and_then(|entries| entries.as_array_of_tables());
    let entries = entries.context(EmptySnafu { path })?;
    entries.iter().enumerate().map(|(index, entry)| read_entry(index, entry)).collect()
}

fn read_entry(index: usize, entry: &Table) -> Result<Mutation, MutationListError> {
    let text = |key: &'static str| {
        let value = entry.get(key).and_then(|value| value.as_str());
        value.map(str::to_owned).context(MissingKeySnafu { index, key })
    };
    Ok(Mutation {
        id: text("id")?,
        file: PathBuf::from(text("file")?),
        find: text("find")?,
        replace: text("replace")?,
        test: read_test(index, text("test")?)?,
    })
}

fn read_test(index: usize, test: String) -> Result<TestId, MutationListError> {
    let words: Vec<&str> = test.split(' ').collect();
    let [package, target, function] = words[..] else { return InvalidTestSnafu { index, test }.fail() };
    Ok(TestId { package: package.to_owned(), target: target.to_owned(), function: function.to_owned() })
}
