//! Traces of requests that failed, told from lines that the real program wrote.
//!
//! A fixture's first line is the request's id; the others are lines of one VM. The trace beside it is written by
//! `UPDATE_FIXTURES=1 cargo test -p quincevalve_explain`, then read.

use std::{fs, path::Path};

use quincevalve_explain::{line::Lines, trace::trace};

fn is_told(path: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    let (id, log) = text.split_once('\n').ok_or("a fixture without an id")?;
    let mut lines = Lines::default();
    lines.read("vm", log);
    let told = trace(&lines, id).ok_or("no line of the request")?;
    let expected = path.with_extension("txt");
    if std::env::var_os("UPDATE_FIXTURES").is_some() {
        fs::write(&expected, &told)?;
    }
    let expected = fs::read_to_string(expected)?;
    if told != expected {
        return Err(format!("told:\n{told}\nexpected:\n{expected}").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = is_told, root = "resources/test/fixtures", pattern = r"\.log$" },
}
