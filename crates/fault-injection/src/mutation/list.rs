//! The list of mutations.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use snafu::{OptionExt, ResultExt, Snafu};
use toml_edit::{DocumentMut, Table, TomlError};

/// The table of the file that has one entry for each mutation.
const ENTRIES: &str = "mutation";

/// A change of the sources that takes a mechanism out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Mutation {
    /// Its name, which is unique.
    pub id: String,
    /// The source file, relative to the repository.
    pub file: PathBuf,
    /// The text that is replaced; it stands in the file once.
    pub find: String,
    /// What replaces it.
    pub replace: String,
    /// The test that must fail then.
    pub test: TestId,
}

/// A test function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TestId {
    /// The package, as its folder below `crates` is called; the gateway's is `tulipridge`.
    pub package: String,
    /// The file below `tests`, without its extension.
    pub target: String,
    /// The name of the function.
    pub function: String,
}

/// Why a list of mutations can't be used.
#[derive(Debug, Snafu)]
pub enum MutationListError {
    /// The file can't be read.
    #[snafu(display("{}: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The file is not TOML.
    #[snafu(display("{}: {source}", path.display()))]
    Syntax {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: TomlError,
    },
    /// The file has no entries.
    #[snafu(display("no [[{ENTRIES}]] in {}", path.display()))]
    Empty {
        /// The file.
        path: PathBuf,
    },
    /// A key of an entry is missing or not a text.
    #[snafu(display("entry {index}: '{key}' must be a text"))]
    MissingKey {
        /// The index of the entry, from 0.
        index: usize,
        /// The key.
        key: &'static str,
    },
    /// A test is not named as package, file and function.
    #[snafu(display("entry {index}: '{test}' must be PACKAGE FILE FUNCTION"))]
    InvalidTest {
        /// The index of the entry, from 0.
        index: usize,
        /// The text.
        test: String,
    },
}

impl TestId {
    /// The folder of the package, relative to the repository.
    #[must_use]
    pub fn package_folder(&self) -> PathBuf {
        match self.package.as_str() {
            "tulipridge" => PathBuf::new(),
            name => Path::new("crates").join(name),
        }
    }

    /// The name of the package for cargo.
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

/// Reads a list.
///
/// # Errors
/// If the file can't be read or is not TOML, or an entry lacks a key.
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
