//! No package has an import cycle between its modules.
//!
//! A module is a file. It imports another one if a `use` or a path in its code refers to an item that the other defines.
//! A re-exported item belongs to the module that defines it. Declarations of submodules and re-exports are no imports.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};

/// Maximum number of re-exports that are followed to the definition of an item.
const MAX_REEXPORTS: usize = 6;

/// Path of a module within its package, such as `["store", "positions"]`; empty for the crate itself.
type ModulePath = Vec<String>;

/// Modules of a package, with the code of each.
#[derive(Default)]
struct Package {
    code: BTreeMap<ModulePath, String>,
    /// Items that each module re-exports, with their paths.
    reexports: BTreeMap<ModulePath, BTreeMap<String, ModulePath>>,
}

fn module_path(file: &Path) -> Option<ModulePath> {
    let mut path: ModulePath =
        file.with_extension("").iter().map(|part| part.to_string_lossy().into_owned()).collect();
    match path.last().map(String::as_str) {
        Some("lib" | "mod") => drop(path.pop()),
        Some("main") => return None,
        _ => {}
    }
    (path.first().map(String::as_str) != Some("bin")).then_some(path)
}

fn read_modules(source: &Path, folder: &Path, package: &mut Package) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            read_modules(source, &path, package);
        } else if let Some(module) =
            module_path(path.strip_prefix(source).expect("a path below the sources"))
        {
            let text = fs::read_to_string(&path).expect("a source is UTF-8");
            package.code.insert(module, without_comments(&text));
        }
    }
}

fn without_comments(text: &str) -> String {
    text.lines().map(|line| line.split("//").next().unwrap_or_default()).collect::<Vec<_>>().join("\n")
}

/// Expands a `use` tree into its paths, such as `a::b` and `a::c` of `a::{b, c}`.
fn expand(tree: &str) -> Vec<String> {
    let tree = tree.trim();
    let Some((prefix, rest)) = tree.split_once('{') else {
        return vec![tree.split(" as ").next().unwrap_or(tree).trim().to_owned()];
    };
    let inner = rest.trim_end().strip_suffix('}').unwrap_or(rest);
    let branches = split_at_top_level(inner);
    let named = branches.iter().filter(|branch| !branch.trim().is_empty());
    named.flat_map(|branch| expand(branch)).map(|path| join(prefix, &path)).collect()
}

/// Path of a branch of a `use` tree with this prefix; `self` is the prefix.
fn join(prefix: &str, branch: &str) -> String {
    match branch {
        "self" => prefix.trim_end_matches(':').to_owned(),
        _ => format!("{prefix}{branch}"),
    }
}

/// Splits at commas outside of braces.
fn split_at_top_level(text: &str) -> Vec<String> {
    let mut depth = 0;
    let mut branches = vec![String::new()];
    for character in text.chars() {
        match character {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                branches.push(String::new());
                continue;
            }
            _ => {}
        }
        branches.last_mut().expect("a first branch").push(character);
    }
    branches
}

/// `use` declarations of a module: whether each re-exports, and its tree.
fn declarations(code: &str) -> Vec<(bool, String)> {
    let mut found = Vec::new();
    for statement in code.split(';') {
        let Some(start) = statement.rfind("use ") else { continue };
        let before = statement[..start].lines().last().unwrap_or_default().trim();
        let is_reexport = before.starts_with("pub");
        if before.is_empty() || is_reexport {
            found.push((is_reexport, statement[start + "use ".len()..].to_owned()));
        }
    }
    found
}

/// Paths in the code that start at the crate, the parent module or the module.
fn inline_paths(code: &str) -> Vec<String> {
    let is_path_character =
        |character: char| character.is_alphanumeric() || character == '_' || character == ':';
    let words = code.split(|character| !is_path_character(character));
    let rooted =
        words.filter(|word| ["crate::", "super::", "self::"].iter().any(|root| word.starts_with(root)));
    rooted.map(|word| word.trim_end_matches(':').to_owned()).collect()
}

impl Package {
    fn read(source: &Path) -> Package {
        let mut package = Package::default();
        read_modules(source, source, &mut package);
        for module in package.code.keys().cloned().collect::<Vec<_>>() {
            let items = package.reexported_items(&module);
            package.reexports.insert(module, items);
        }
        package
    }

    fn reexported_items(&self, module: &ModulePath) -> BTreeMap<String, ModulePath> {
        let trees = declarations(&self.code[module]).into_iter().filter(|(is_reexport, _)| *is_reexport);
        let paths =
            trees.flat_map(|(_, tree)| expand(&tree)).filter_map(|path| self.absolute(module, &path));
        paths.filter_map(|path| Some((path.last()?.clone(), path))).collect()
    }

    /// Converts a path in a module to a path from the root of the package; `None` if it leads out of the package.
    fn absolute(&self, module: &ModulePath, path: &str) -> Option<ModulePath> {
        let mut segments = path.split("::").map(|segment| segment.trim().to_owned()).peekable();
        let mut base = match segments.peek()?.as_str() {
            "crate" => ModulePath::new(),
            "self" | "super" => module.clone(),
            first => {
                let child: ModulePath = module.iter().cloned().chain([first.to_owned()]).collect();
                return self
                    .code
                    .contains_key(&child)
                    .then(|| module.iter().cloned().chain(segments).collect());
            }
        };
        while let Some(step) =
            segments.next_if(|segment| ["crate", "self", "super"].contains(&segment.as_str()))
        {
            if step == "super" {
                base.pop();
            }
        }
        Some(base.into_iter().chain(segments).collect())
    }

    /// The module that defines the item at a path, after at most this number of re-exports.
    fn defining_module(&self, path: &ModulePath, max_reexports: usize) -> ModulePath {
        let is_module = |length: &usize| self.code.contains_key(&path[..*length]);
        let length = (0..=path.len()).rev().find(is_module).unwrap_or(0);
        let (module, rest) = (path[..length].to_vec(), &path[length..]);
        let target = rest.first().and_then(|item| self.reexports.get(&module)?.get(item));
        match target {
            Some(target) if max_reexports > 0 && *target != *path => {
                let next: ModulePath = target.iter().chain(&rest[1..]).cloned().collect();
                self.defining_module(&next, max_reexports - 1)
            }
            _ => module,
        }
    }

    fn imports(&self, module: &ModulePath) -> BTreeSet<ModulePath> {
        let code = &self.code[module];
        let trees = declarations(code).into_iter().filter(|(is_reexport, _)| !is_reexport);
        let used = trees.flat_map(|(_, tree)| expand(&tree));
        let inline = inline_paths(&without_declarations(code));
        let paths = used.chain(inline).filter_map(|path| self.absolute(module, &path));
        let targets = paths.map(|path| self.defining_module(&path, MAX_REEXPORTS));
        targets.filter(|target| target != module).collect()
    }

    /// Modules of import cycles, and modules between two cycles, each with its imports among them.
    fn import_cycles(&self) -> BTreeMap<ModulePath, BTreeSet<ModulePath>> {
        let mut imports: BTreeMap<ModulePath, BTreeSet<ModulePath>> =
            self.code.keys().map(|module| (module.clone(), self.imports(module))).collect();
        // Removes modules without imports or importers among the remaining ones, as they are in no cycle.
        loop {
            let imported: BTreeSet<ModulePath> = imports.values().flatten().cloned().collect();
            let count = imports.len();
            imports.retain(|module, targets| !targets.is_empty() && imported.contains(module));
            let remaining: BTreeSet<ModulePath> = imports.keys().cloned().collect();
            imports.values_mut().for_each(|targets| targets.retain(|target| remaining.contains(target)));
            if imports.len() == count {
                return imports;
            }
        }
    }
}

/// Removes the `use` declarations from the code.
fn without_declarations(code: &str) -> String {
    let mut rest = code.to_owned();
    for (_, tree) in declarations(code) {
        rest = rest.replacen(&format!("use {tree};"), "", 1);
    }
    rest
}

/// Creates a package of modules, each given by path and code.
fn package_of(modules: &[(&str, &str)]) -> Package {
    let path = |name: &str| name.split("::").filter(|part| !part.is_empty()).map(str::to_owned).collect();
    let code = modules.iter().map(|(name, code)| (path(name), (*code).to_owned())).collect();
    let mut package = Package { code, reexports: BTreeMap::new() };
    for module in package.code.keys().cloned().collect::<Vec<_>>() {
        let items = package.reexported_items(&module);
        package.reexports.insert(module, items);
    }
    package
}

#[test]
fn cycles_are_found_through_reexports_and_paths_in_code() {
    let direct =
        package_of(&[("", ""), ("a", "use crate::b::{self, B};"), ("b", "fn f() { super::a::A }")]);
    assert_eq!(direct.import_cycles().len(), 2);
    let reexported = package_of(&[
        ("", ""),
        ("p", "mod c;\npub use c::C;\nstruct P;"),
        ("p::c", "use crate::q::Q;\npub struct C;"),
        ("q", "use crate::p::C;"),
    ]);
    let found: Vec<String> = reexported.import_cycles().keys().map(|module| module.join("::")).collect();
    assert_eq!(found, ["p::c", "q"]);
}

#[test]
fn a_parent_that_reexports_its_children_makes_no_cycle() {
    let package = package_of(&[
        ("", ""),
        ("p", "mod c;\nmod d;\npub use c::C;"),
        ("p::c", "use super::d::D;\npub struct C;"),
        ("p::d", "pub struct D;"),
    ]);
    assert!(package.import_cycles().is_empty());
}

#[test]
fn no_package_has_an_import_cycle() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let packages = fs::read_dir(root.join("crates")).expect("the packages");
    let mut sources: Vec<PathBuf> =
        packages.map(|entry| entry.expect("an entry").path().join("src")).collect();
    sources.push(root.join("src"));
    for source in sources {
        let cycles = Package::read(&source).import_cycles();
        assert!(cycles.is_empty(), "{}: {cycles:#?}", source.display());
    }
}
