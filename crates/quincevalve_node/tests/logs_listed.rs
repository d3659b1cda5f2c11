//! Checks that docs/LOGS.md lists each log event of the process.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Returns the event names in a source text: the literal after the `;` of each logging macro.
fn event_names(source: &str) -> Vec<String> {
    let macros = ["log::debug!(", "log::info!(", "log::warn!(", "log::error!(", "log_request!("];
    let starts = macros.iter().flat_map(|it| source.match_indices(it));
    let mut events = Vec::new();
    for (at, name) in starts {
        let call = &source[at + name.len()..];
        // The message is the last literal before the macro's closing parenthesis.
        let quotes = call.match_indices('"').map(|(at, _)| at);
        let end = quotes.clone().find(|at| call[at + 1..].trim_start().starts_with(')'));
        let Some(end) = end else { continue };
        let Some(start) = call[..end].rfind('"') else { continue };
        let name = &call[start + 1..end];
        if !name.is_empty() && name.chars().all(|it| it.is_ascii_lowercase() || it == '-') {
            events.push(name.to_owned());
        }
    }
    events
}

/// Returns all files below a directory.
fn files_below(directory: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(directory).expect("the sources");
    let paths = entries.map(|it| it.expect("an entry").path());
    paths.flat_map(|it| if it.is_dir() { files_below(&it) } else { vec![it] }).collect()
}

#[test]
fn every_log_event_is_listed() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../../docs/LOGS.md")).expect("the page");
    let mut found = 0;
    for file in files_below(&root.join("src")) {
        let source = fs::read_to_string(file).expect("a source");
        for event in event_names(&source) {
            found += 1;
            assert!(page.contains(&format!("`{event}`")), "docs/LOGS.md lacks `{event}`");
        }
    }
    assert!(found > 50, "only {found} events were found in the sources");
}
