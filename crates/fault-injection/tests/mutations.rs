//! The list of mutations names sources and tests that exist, and the map of rules names mutations that are listed.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use tulipridge_fault_injection::mutation::{Mutation, read_list};

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn mutations() -> Vec<Mutation> {
    read_list(&repository().join("crates/fault-injection/mutations.toml")).expect("a list that can be read")
}

fn read(file: &Path) -> String {
    let path = repository().join(file);
    fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

#[test]
fn each_mutation_has_a_name_of_its_own() {
    let list = mutations();
    let ids: BTreeSet<&str> = list.iter().map(|mutation| mutation.id.as_str()).collect();
    assert!(list.len() >= 40 && ids.len() == list.len(), "{} names of {}", ids.len(), list.len());
}

#[test]
fn the_text_of_each_mutation_stands_in_its_file_once() {
    for Mutation { id, file, find, replace, .. } in mutations() {
        assert_eq!(read(&file).matches(&find).count(), 1, "{id}");
        assert_ne!(find, replace, "{id}");
    }
}

#[test]
fn the_test_of_each_mutation_exists() {
    for Mutation { id, test, .. } in mutations() {
        let function = format!("fn {}(", test.function);
        assert_eq!(read(&test.source_file()).matches(&function).count(), 1, "{id}: {function}");
    }
}
