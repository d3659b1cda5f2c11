//! What became of one request, and what its VM knew at the time.

use std::fmt::Write;

use crate::line::{Line, Lines};

/// Events about a request that is asked for again and again, told by whichever VM saw them.
const OF_A_DIGEST: [&str; 4] = ["server-exited", "quarantined", "trial-begun", "quarantine-lifted"];

/// Events of the process that can be the cause of what a request met.
const CAUSES: [&str; 18] = [
    "started",
    "draining",
    "stopped",
    "store-lost",
    "store-regained",
    "store-returned",
    "store-never-away",
    "store-read-here",
    "store-history-gone",
    "config-applied",
    "server-listed",
    "server-removed",
    "servers-ordered",
    "duty-taken",
    "duty-lost",
    "rollout-phase",
    "rollout-halted",
    "lines-left-out",
];

/// A request's lines over all VMs, with what its VMs came to know before and meanwhile.
///
/// `None` where no line is of the request. Of the VM's events only the newest of each name and server before the
/// request's end is told: what the VM believed then.
pub fn trace(lines: &Lines, id: &str) -> Option<String> {
    let own: Vec<&Line> = lines.lines.iter().filter(|it| it.is_of(id)).collect();
    let last = own.last()?;
    let mut text = format!("request {id}\n");
    for line in &own {
        let _ =
            writeln!(text, "  {} {} {} {}", line.timestamp, line.vm, line.message, line.fields());
    }
    let servers: Vec<String> = own.iter().map(|it| it.field("server")).collect();
    let _ = writeln!(text, "what {} knew", last.vm);
    for line in believed(lines, &last.vm, &last.timestamp, &servers) {
        let _ = writeln!(text, "  {} {} {}", line.timestamp, line.message, line.fields());
    }
    let asked_again = of_the_same_digest(lines, &own, id);
    if !asked_again.is_empty() {
        let _ = writeln!(text, "of other attempts for the same");
    }
    for line in asked_again {
        let _ =
            writeln!(text, "  {} {} {} {}", line.timestamp, line.vm, line.message, line.fields());
    }
    let _ = writeln!(text, "so: {}", conclusion(&own));
    for line in own.iter().filter(|it| is_of_unlisted(it)) {
        let (server, ms) = (line.field("server"), line.field("unlisted_ms"));
        let _ =
            writeln!(text, "and: {server} got it {ms} ms after its entry went; see server-removed");
    }
    Some(text)
}

/// What VMs saw of other attempts for the same, where this one was kept from servers or a server exited under it.
fn of_the_same_digest<'a>(lines: &'a Lines, own: &[&Line], id: &str) -> Vec<&'a Line> {
    let told = own.iter().find(|it| ["withheld", "server-exited"].contains(&it.message.as_str()));
    let Some(digest) = told.map(|it| it.field("digest")) else { return Vec::new() };
    let is_about = |it: &&Line| {
        OF_A_DIGEST.contains(&it.message.as_str()) && it.field("digest") == digest && !it.is_of(id)
    };
    lines.lines.iter().filter(is_about).collect()
}

/// Whether a line says that a server was chosen whose entry was missing.
fn is_of_unlisted(line: &Line) -> bool {
    let age = line.field("unlisted_ms");
    !age.is_empty() && !age.starts_with('-')
}

/// The newest line of each cause before `until`; of servers only those that the request met.
fn believed<'a>(lines: &'a Lines, vm: &str, until: &str, servers: &[String]) -> Vec<&'a Line> {
    let mut newest: Vec<&Line> = Vec::new();
    let is_about = |it: &Line| {
        let server = it.field("server");
        server.is_empty() || servers.contains(&server)
    };
    let causes = lines.lines.iter().filter(|it| {
        it.vm == vm
            && it.timestamp.as_str() <= until
            && CAUSES.contains(&it.message.as_str())
            && is_about(it)
    });
    for line in causes {
        let key = |it: &Line| (it.message.clone(), it.field("server"));
        newest.retain(|it| key(it) != key(line));
        newest.push(line);
    }
    newest
}

/// What the request's lines say of its end, in words.
fn conclusion(own: &[&Line]) -> String {
    let find = |message: &str| own.iter().rev().find(|it| it.message == message);
    if let Some(line) = find("refused") {
        let ran = if line.field("outcome") == "NotRun" { "has not run" } else { "may have run" };
        return format!(
            "refused, {}: {}; it {ran}",
            line.field("cause"),
            hint(&line.field("cause"))
        );
    }
    if let Some(line) = find("stream-ended") {
        return match line.field("how").as_str() {
            "whole" => "the stream came to its end".to_owned(),
            "broke-off" => format!(
                "the stream was cut: {} ended it after {} servers; see its entry above",
                line.field("server"),
                line.field("servers")
            ),
            how => format!("the stream ended: {how}"),
        };
    }
    match find("answered") {
        Some(line) => format!("answered {} in {} ms", line.field("status"), line.field("took_ms")),
        None => "its end was not written, or its VM ended first".to_owned(),
    }
}

/// Where to look for the cause of a refusal.
fn hint(cause: &str) -> &'static str {
    match cause {
        "stale-config" => "the VM had no new proof of its configuration; see store-lost above",
        "busy" => "no server would have answered in time; see servers-ordered",
        "no-server" => "no server of the service was usable; see server-removed",
        "over-quota" => "the account had spent its quota over all VMs",
        "servers-refused" => "each server that was asked said that it did not run it",
        "stopping" => "the VM had SIGTERM; see draining above",
        "server-failed" => "a server took it and gave no whole answer; see exchange-failed",
        "quarantined" => "servers exited under the same request; see server-exited above",
        "late" => "a server took it and was silent until the deadline",
        "unknown-key" => "no account holds the key in this version",
        "no-route" => "no route of this version matches host and path",
        _ => "see docs/LOGS.md",
    }
}
