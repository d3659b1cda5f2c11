//! What was decided in a span of time, by event and cause.

use std::fmt::Write;

use indexmap::IndexMap;

use crate::line::{Line, Lines};

/// Counts the lines with `from <= timestamp < until`, by event and what decided it, most first.
///
/// # Examples
///
/// ```
/// use quincevalve_explain::{line::Lines, summary::summary};
/// let mut lines = Lines::default();
/// let line = r#"{"timestamp":"2026-01-01T00:00:01","message":"refused","kvs":{"id":"7","cause":"busy"}}"#;
/// lines.read("vm-1", line);
/// assert_eq!(summary(&lines, "2026-01-01T00:00:00", "2026-01-01T00:00:02"), "     1 refused busy\n");
/// ```
pub fn summary(lines: &Lines, from: &str, until: &str) -> String {
    let mut counts: IndexMap<String, u64> = IndexMap::new();
    let is_within = |it: &&Line| it.timestamp.as_str() >= from && it.timestamp.as_str() < until;
    for line in lines.lines.iter().filter(is_within) {
        *counts.entry(decision(line)).or_default() += 1;
    }
    counts.sort_by(|a, left, b, right| right.cmp(left).then_with(|| a.cmp(b)));
    let mut text = String::new();
    for (decision, count) in &counts {
        let _ = writeln!(text, "{count:>6} {decision}");
    }
    text
}

/// An event with the field that tells its kind.
fn decision(line: &Line) -> String {
    let kind = ["cause", "how", "status", "outcome", "error"].iter().find_map(|name| {
        let value = line.field(name);
        (!value.is_empty()).then_some(value)
    });
    match kind {
        Some(kind) => format!("{} {kind}", line.message),
        None => line.message.clone(),
    }
}
