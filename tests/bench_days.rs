//! The benchmark days under `deploy/days/`: each file has one day that can be replayed.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use toml_edit::{DocumentMut, Table};

/// The folders of the sites.
fn site_folders() -> Vec<PathBuf> {
    let days = Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy/days");
    let entries = fs::read_dir(days).expect("the folder of days");
    let paths = entries.map(|entry| entry.expect("an entry of the folder").path());
    paths.filter(|path| path.is_dir()).collect()
}

/// Names and seeds of the days of a site, one per file.
fn days_of(folder: &Path) -> Vec<(String, i64)> {
    let files = fs::read_dir(folder).expect("the folder of a site");
    files.map(|file| read_day(&file.expect("an entry of the folder").path())).collect()
}

fn read_day(file: &Path) -> (String, i64) {
    let text = fs::read_to_string(file).expect("the file of a day");
    let document: DocumentMut = text.parse().unwrap_or_else(|error| panic!("{}: {error}", file.display()));
    let days = document["day"].as_array_of_tables().expect("a list of days");
    assert_eq!(days.len(), 1, "{}", file.display());
    let day = days.get(0).expect("one day");
    assert_eq!(day["name"].as_str(), file.file_stem().and_then(|stem| stem.to_str()), "{}", file.display());
    assert!(entry_count(day, "plan") > 0 && entry_count(day, "faults") > 0, "{}", file.display());
    (day["name"].as_str().unwrap_or_default().to_owned(), day["seed"].as_integer().expect("a seed"))
}

/// Number of entries with a kind in a list of the day.
fn entry_count(day: &Table, list: &str) -> usize {
    let entries = day[list].as_array().expect("a list of entries");
    entries
        .iter()
        .filter(|entry| entry.as_inline_table().is_some_and(|entry| entry.contains_key("kind")))
        .count()
}

#[test]
fn each_site_has_days_with_unique_names_and_seeds() {
    let folders = site_folders();
    assert!(folders.len() >= 2);
    for folder in folders {
        let days = days_of(&folder);
        let names: BTreeSet<&String> = days.iter().map(|(name, _)| name).collect();
        let seeds: BTreeSet<i64> = days.iter().map(|(_, seed)| *seed).collect();
        assert!(days.len() >= 12, "{}", folder.display());
        assert_eq!((names.len(), seeds.len()), (days.len(), days.len()), "{}", folder.display());
    }
}
