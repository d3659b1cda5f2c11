//! One server: what VMs knew of it, from which source, and how many requests they sent to it.

use std::{collections::BTreeMap, fmt::Write};

use crate::line::{LogLine, LogLines};

/// Events that update what a VM knows of a server.
const SERVER_UPDATES: [&str; 6] = [
    "server-listed",
    "server-removed",
    "server-limit",
    "server-leaving",
    "server-rests",
    "server-exited",
];

/// Returns the history of a server: each line that updated what a VM knew of it, and between those lines how many
/// requests each VM sent to it. Returns `None` if no line names the server.
///
/// # Examples
///
/// ```
/// use quincevalve_explain::{line::LogLines, server::server};
/// let mut lines = LogLines::default();
/// lines.parse("vm-1", concat!(
///     r#"{"timestamp":"t1","message":"placed","kvs":{"id":"a","server":"i-1"}}"#, "\n",
///     r#"{"timestamp":"t2","message":"server-limit","kvs":{"server":"i-1","per_second":1.2,"from":"Server"}}"#,
/// ));
/// let text = server(&lines, "i-1").unwrap();
/// assert!(text.contains("1 by vm-1") && text.contains("per_second=1.2"), "{text}");
/// assert_eq!(server(&lines, "i-2"), None);
/// ```
pub fn server(lines: &LogLines, name: &str) -> Option<String> {
    let of_server = |it: &&LogLine| it.kvs.get("server").is_some_and(|it| it == name);
    let mut text = String::new();
    let mut sent = SentRequests::default();
    for line in lines.lines.iter().filter(of_server) {
        match line.message.as_str() {
            "placed" | "stream-resumed" => sent.record(line),
            event if SERVER_UPDATES.contains(&event) => {
                sent.write_to(&mut text);
                let _ = writeln!(text, "{} {} {event} {}", line.timestamp, line.vm, line.fields());
            }
            _ => {}
        }
    }
    sent.write_to(&mut text);
    (!text.is_empty()).then_some(text)
}

/// Requests that VMs sent to the server since the last printed update.
#[derive(Default)]
struct SentRequests<'a> {
    from: &'a str,
    until: &'a str,
    by_vm: BTreeMap<&'a str, u64>,
}

impl<'a> SentRequests<'a> {
    fn record(&mut self, line: &'a LogLine) {
        if self.by_vm.is_empty() {
            self.from = &line.timestamp;
        }
        self.until = &line.timestamp;
        *self.by_vm.entry(&line.vm).or_default() += 1;
    }

    fn write_to(&mut self, text: &mut String) {
        if self.by_vm.is_empty() {
            return;
        }
        let by_vm = std::mem::take(&mut self.by_vm);
        let all: u64 = by_vm.values().sum();
        let each: Vec<_> = by_vm.iter().map(|(vm, count)| format!("{count} by {vm}")).collect();
        let _ = writeln!(text, "{} to {}: sent {all}: {}", self.from, self.until, each.join(", "));
    }
}
