//! Reading an experiment, and the files that it differs from.

use std::fs;
use std::path::Path;

use tulipridge::settings::{Fault, parse_hcl_over};

use super::Experiment;

impl Experiment {
    /// Reads an experiment; `path` is for the faults, and says where a file lies that it differs from.
    pub fn parse(path: &str, text: &str) -> Result<Experiment, Fault> {
        let mut files = vec![(path.to_owned(), text.to_owned())];
        while let Some(from) = files.last().and_then(|(_, text)| from_of(text)) {
            let (path, _) = &files[files.len() - 1];
            let fault = |what| Fault { file: path.clone(), place: None, key: "from".into(), what };
            let base = Path::new(path).with_file_name(&from).display().to_string();
            if files.iter().any(|(known, _)| *known == base) {
                return Err(fault(format!("{from} comes back to this file")));
            }
            let text = fs::read_to_string(&base).map_err(|e| fault(format!("{base}: {e}")))?;
            files.push((base, text));
        }
        let files: Vec<_> = files.iter().rev().map(|(path, text)| (path.as_str(), text.as_str())).collect();
        parse_hcl_over(&files, Experiment::check)
    }
}

/// The file that a text says it differs from; a text that can't be read says so later.
fn from_of(text: &str) -> Option<String> {
    let value: serde_json::Value = hcl::from_str(text).ok()?;
    value.get("from")?.as_str().map(str::to_owned)
}
