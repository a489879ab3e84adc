//! Checks of the documentation against the sources: paths that it names, and conventions that it states.

#[path = "support/source_files.rs"]
mod source_files;

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

use source_files::sources_below;

/// Words that name no item and no file in any package, its tests, benchmarks and examples included.
const WITHDRAWN_WORDS: [&str; 17] = [
    "told", "whole", "held", "ill", "sick", "duty", "news", "kin", "mates", "ask", "trouble", "mishap",
    "keeper", "silence", "mend", "errand", "tell",
];

/// Further words that name no item and no file in the sources of any package. Tests, benchmarks and examples may use them:
/// there, a name is often a sentence.
const WITHDRAWN_IN_SOURCES: [&str; 18] = [
    "answer",
    "answers",
    "answered",
    "answering",
    "reply",
    "replies",
    "holds",
    "holder",
    "beginning",
    "places",
    "scheduling",
    "schedulings",
    "ledger",
    "settle",
    "letter",
    "note",
    "ballot",
    "fellow",
];

/// Phrases that tell how a value was found. The commit message or docs/CAPACITY.md says that, not the constant.
const TUNING_PHRASES: [&str; 9] = [
    "was measured",
    "were measured",
    "was chosen",
    "were chosen",
    "was tuned",
    "were tuned",
    "was tried",
    "were tried",
    "trial and error",
];

/// The longest name of a test, in characters.
const MAX_TEST_NAME_LENGTH: usize = 60;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(path: &Path) -> String {
    fs::read_to_string(path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// The text between backticks, line by line; code blocks are passed over.
fn code_spans(text: &str) -> Vec<&str> {
    let mut is_block = false;
    let mut spans = Vec::new();
    for line in text.lines() {
        if line.starts_with("```") {
            is_block = !is_block;
        } else if !is_block {
            spans.extend(line.split('`').skip(1).step_by(2));
        }
    }
    spans
}

/// Whether a code span is a path within the repository.
fn is_path(span: &str) -> bool {
    let roots = ["crates/", "docs/", "src/", "tests/", "deploy/", "examples/", "fuzz/", ".ci/"];
    roots.iter().any(|root| span.starts_with(root)) && !span.contains([' ', '*', '{', '<'])
}

fn assert_paths_exist(page: &str) {
    let text = read(&root().join(page));
    let paths: Vec<&str> = code_spans(&text).into_iter().filter(|span| is_path(span)).collect();
    assert!(!paths.is_empty(), "{page} names no path");
    let missing: Vec<&&str> = paths.iter().filter(|path| !root().join(path).exists()).collect();
    assert!(missing.is_empty(), "{page} names what does not exist: {missing:?}");
}

/// The name of the item that a line declares, if it declares one.
fn declared_name(line: &str) -> Option<&str> {
    const KEYWORDS: [&str; 8] = ["fn", "struct", "enum", "trait", "type", "const", "static", "mod"];
    let mut words = line.split_whitespace().skip_while(|word| !KEYWORDS.contains(word)).skip(1);
    let before = line.split_whitespace().take_while(|word| !KEYWORDS.contains(word));
    let is_declaration =
        before.into_iter().all(|word| word.starts_with("pub") || MODIFIERS.contains(&word));
    let name = words.find(|word| !KEYWORDS.contains(word))?;
    let name = name.split(|character: char| !character.is_alphanumeric() && character != '_').next()?;
    (is_declaration && !name.is_empty()).then_some(name)
}

/// What may stand before the keyword of a declaration, beside its visibility.
const MODIFIERS: [&str; 5] = ["async", "unsafe", "const", "in", "crate)"];

/// The words of a name in snake case or camel case, in lower case.
fn words_of(name: &str) -> BTreeSet<String> {
    let mut spaced = String::new();
    let mut previous = ' ';
    for character in name.chars() {
        if character.is_uppercase() && previous.is_lowercase() {
            spaced.push('_');
        }
        spaced.push(character);
        previous = character;
    }
    spaced.to_lowercase().split('_').map(str::to_owned).collect()
}

fn has_word_of(name: &str, words: &[&str]) -> bool {
    words_of(name).iter().any(|word| words.contains(&word.as_str()))
}

fn is_withdrawn(name: &str) -> bool {
    has_word_of(name, &WITHDRAWN_WORDS)
}

fn is_withdrawn_in_sources(name: &str) -> bool {
    is_withdrawn(name) || has_word_of(name, &WITHDRAWN_IN_SOURCES)
}

/// Whether a file is a source of a package, and not one of its tests, benchmarks or examples.
fn is_in_sources(path: &Path) -> bool {
    let folders = path.strip_prefix(root()).expect("a path below the root").components();
    folders.into_iter().any(|folder| folder.as_os_str() == "src")
}

#[test]
fn every_path_in_the_architecture_page_exists() {
    assert_paths_exist("docs/architecture.md");
}

#[test]
fn paths_in_the_readme_glossary_and_developers_page_exist() {
    for page in ["README.md", "docs/glossary.md", "DEVELOPERS.md"] {
        assert_paths_exist(page);
    }
}

#[test]
fn the_readme_lists_every_package() {
    let readme = read(&root().join("README.md"));
    for entry in fs::read_dir(root().join("crates")).expect("the packages") {
        let name = entry.expect("an entry").file_name().into_string().expect("a name in UTF-8");
        assert!(readme.contains(&format!("| `{name}` |")), "README.md does not list {name}");
    }
}

/// The sources, tests, benchmarks and examples of all packages.
fn all_sources() -> Vec<PathBuf> {
    let mut packages = vec![root().to_owned()];
    for entry in fs::read_dir(root().join("crates")).expect("the packages") {
        packages.push(entry.expect("an entry").path());
    }
    let mut sources = Vec::new();
    for package in packages {
        let folders = ["src", "tests", "benches", "examples"].map(|folder| package.join(folder));
        folders
            .iter()
            .filter(|folder| folder.exists())
            .for_each(|folder| sources_below(folder, &mut sources));
    }
    assert!(sources.len() > 400, "only {} files found", sources.len());
    sources
}

/// The comments that stand directly above constants, each joined into one line.
fn comments_of_constants(text: &str) -> Vec<String> {
    let mut comments = Vec::new();
    let mut comment = String::new();
    for line in text.lines().map(str::trim) {
        if let Some(text) = line.strip_prefix("//") {
            comment.push(' ');
            comment.push_str(text.trim_start_matches('/').trim());
            continue;
        }
        let is_constant = line.split_whitespace().any(|word| word == "const" || word == "static");
        if is_constant && !line.contains("fn ") && !comment.is_empty() {
            comments.push(std::mem::take(&mut comment));
        }
        if !line.starts_with("#[") {
            comment.clear();
        }
    }
    comments
}

/// The names of a file's test functions.
fn test_names(text: &str) -> Vec<&str> {
    let mut names = Vec::new();
    let mut is_test = false;
    for line in text.lines().map(str::trim) {
        is_test |= line.starts_with("#[test]") || line.starts_with("#[rstest]");
        if let Some(name) = declared_name(line).filter(|_| is_test && line.contains("fn ")) {
            names.push(name);
            is_test = false;
        }
    }
    names
}

#[test]
fn no_comment_of_a_constant_tells_how_its_value_was_found() {
    let mut found = Vec::new();
    for source in all_sources() {
        for comment in comments_of_constants(&read(&source)) {
            if TUNING_PHRASES.iter().any(|phrase| comment.contains(phrase)) {
                found.push(format!("{}:{comment}", source.display()));
            }
        }
    }
    assert!(found.is_empty(), "{found:#?}");
}

#[test]
fn test_names_are_short() {
    let (mut count, mut long) = (0, Vec::new());
    for source in all_sources() {
        let text = read(&source);
        let names = test_names(&text);
        count += names.len();
        long.extend(names.into_iter().filter(|name| name.len() > MAX_TEST_NAME_LENGTH).map(str::to_owned));
    }
    assert!(count > 400, "only {count} tests found");
    assert!(long.is_empty(), "{long:#?}");
}

#[test]
fn constants_and_tests_are_found_in_a_source() {
    let text = "/// 7 s was chosen\n#[allow(dead_code)]\nconst LIMIT: u32 = 7;\n/// was measured\nconst fn f() {}\n";
    assert_eq!(comments_of_constants(text), [" 7 s was chosen"]);
    let text = "#[rstest]\n#[case::one(1)]\nfn first(#[case] number: u32) {}\nfn helper() {}\n#[test]\nfn second() {}";
    assert_eq!(test_names(text), ["first", "second"]);
}

#[test]
fn no_item_or_file_of_a_package_has_a_withdrawn_name() {
    let sources = all_sources();
    let mut withdrawn = BTreeSet::new();
    for source in &sources {
        let stem = source.file_stem().and_then(|stem| stem.to_str()).expect("a name in UTF-8");
        let is_withdrawn = if is_in_sources(source) { is_withdrawn_in_sources } else { is_withdrawn };
        if is_withdrawn(stem) {
            withdrawn.insert(format!("{}: the file", source.display()));
        }
        for line in read(source).lines() {
            if let Some(name) = declared_name(line).filter(|name| is_withdrawn(name)) {
                withdrawn.insert(format!("{}: {name}", source.display()));
            }
        }
    }
    assert!(withdrawn.is_empty(), "{withdrawn:#?}");
}

#[test]
fn a_withdrawn_word_is_found_in_either_case() {
    assert!(is_withdrawn("DutyHolder") && is_withdrawn("tell_role") && is_withdrawn("TOLD_AGE"));
    assert!(!is_withdrawn("intellect") && !is_withdrawn("Wholesale"));
    assert!(is_withdrawn_in_sources("OpenAnswer") && !is_withdrawn("OpenAnswer"));
    assert!(
        is_in_sources(&root().join("src/lib.rs")) && !is_in_sources(&root().join("tests/documentation.rs"))
    );
    assert_eq!(declared_name("    pub(super) async fn tell_role(&mut self) {"), Some("tell_role"));
    assert_eq!(declared_name("let told = fn_of(x);"), None);
}
