//! Each log line of the process is listed in docs/LOGS.md.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// The event names in a source text: the literal after the `;` of each logging macro.
fn events(source: &str) -> Vec<String> {
    let macros = ["log::debug!(", "log::info!(", "log::warn!(", "log::error!(", "log_request!("];
    let starts = macros.iter().flat_map(|it| source.match_indices(it));
    let mut events = Vec::new();
    for (at, name) in starts {
        let call = &source[at + name.len()..];
        // The message is the literal before the macro's end.
        let ends = call.match_indices('"').map(|(at, _)| at);
        let end = ends.clone().find(|at| call[at + 1..].trim_start().starts_with(')'));
        let Some(end) = end else { continue };
        let Some(start) = call[..end].rfind('"') else { continue };
        let name = &call[start + 1..end];
        if !name.is_empty() && name.chars().all(|it| it.is_ascii_lowercase() || it == '-') {
            events.push(name.to_owned());
        }
    }
    events
}

/// All source files below a folder.
fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the sources");
    let paths = entries.map(|it| it.expect("an entry").path());
    paths.flat_map(|it| if it.is_dir() { sources(&it) } else { vec![it] }).collect()
}

#[test]
fn every_event_is_listed() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = fs::read_to_string(root.join("../../docs/LOGS.md")).expect("the page");
    let mut found = 0;
    for file in sources(&root.join("src")) {
        let source = fs::read_to_string(file).expect("a source");
        for event in events(&source) {
            found += 1;
            assert!(page.contains(&format!("`{event}`")), "docs/LOGS.md lacks `{event}`");
        }
    }
    assert!(found > 50, "only {found} events were found in the sources");
}
