//! The trace of one request: its outcome and what its VM knew at the time.

use std::{collections::BTreeMap, fmt::Write};

use crate::line::{LogLine, LogLines};

/// Events about a request that clients repeat or about a part of its prompt, identified by a digest; any VM may log them.
const DIGEST_EVENTS: [&str; 9] = [
    "server-exited",
    "exit-reported",
    "suspect-inquired",
    "suspect-cleared",
    "quarantined",
    "quarantine-heard",
    "trial-begun",
    "quarantine-lifted",
    "quarantine-lifted-at-version",
];
/// Prefix of the written form of a part where requests have theirs too.
const PART_PREFIX: &str = "part-";

/// Events of a VM's process that can explain the outcome of a request.
const CONTEXT_EVENTS: [&str; 21] = [
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
    "servers-unreachable",
    "servers-reachable",
    "servers-ordered",
    "duty-taken",
    "duty-lost",
    "rollout-phase",
    "rollout-halted",
    "lines-left-out",
    "quota-owner",
];

/// Returns a request's lines from all VMs, followed by what its last VM knew when the request ended.
///
/// Returns `None` if no line belongs to the request. Of the VM's events, only the newest for each event name and server
/// before the request's end is included: the VM's state of knowledge at that time.
pub fn trace(lines: &LogLines, id: &str) -> Option<String> {
    let own: Vec<&LogLine> = lines.lines.iter().filter(|it| it.belongs_to_request(id)).collect();
    let last = own.last()?;
    let mut text = format!("request {id}\n");
    for line in &own {
        let _ =
            writeln!(text, "  {} {} {} {}", line.timestamp, line.vm, line.message, line.fields());
    }
    let servers: Vec<String> = own.iter().map(|it| it.field("server")).collect();
    let _ = writeln!(text, "what {} knew", last.vm);
    let account = quota_refusal(&own).map(|it| it.field("account"));
    for line in known_before(lines, &last.vm, &last.timestamp, &servers, account.as_deref()) {
        let _ = writeln!(text, "  {} {} {}", line.timestamp, line.message, line.fields());
    }
    for (part, servers) in exits_by_part(lines, &own) {
        let _ = writeln!(text, "servers that exited under requests with part {part}");
        let _ = writeln!(text, "  {}", servers.join(" "));
    }
    let same_digest = same_digest_events(lines, &own, id);
    if !same_digest.is_empty() {
        let _ = writeln!(text, "of other attempts for the same");
    }
    for line in same_digest {
        let _ =
            writeln!(text, "  {} {} {} {}", line.timestamp, line.vm, line.message, line.fields());
    }
    let _ = writeln!(text, "so: {}", conclusion(&own));
    for line in own.iter().filter(|it| used_unlisted_server(it)) {
        let (server, ms) = (line.field("server"), line.field("unlisted_ms"));
        let _ =
            writeln!(text, "and: {server} got it {ms} ms after its entry went; see server-removed");
    }
    Some(text)
}

/// Returns the events of other requests with the same digest, and those about what this request was withheld for, if it
/// was withheld from servers or a server exited while processing it.
fn same_digest_events<'a>(lines: &'a LogLines, own: &[&LogLine], id: &str) -> Vec<&'a LogLine> {
    let trigger =
        own.iter().find(|it| ["withheld", "server-exited"].contains(&it.message.as_str()));
    let Some(digest) = trigger.map(|it| it.field("digest")) else { return Vec::new() };
    let withheld_for = own.iter().map(|it| it.field("suspect")).find(|it| !it.is_empty());
    let withheld_for = withheld_for.unwrap_or_else(|| digest.clone());
    let part = withheld_for.strip_prefix(PART_PREFIX);
    let is_about = |it: &&LogLine| {
        let names = [it.field("digest"), it.field("suspect")];
        let is_same = names.contains(&digest) || names.contains(&withheld_for);
        let holds_part = part.is_some_and(|part| parts_of(it).iter().any(|it| it == part));
        DIGEST_EVENTS.contains(&it.message.as_str())
            && (is_same || holds_part)
            && !it.belongs_to_request(id)
    };
    lines.lines.iter().filter(is_about).collect()
}

/// Returns the servers that exited under requests with each part of this request's prompt, in the order of the exits.
fn exits_by_part(lines: &LogLines, own: &[&LogLine]) -> Vec<(String, Vec<String>)> {
    let named = own.iter().map(|it| parts_of(it)).find(|it| !it.is_empty()).unwrap_or_default();
    let mut servers: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    let exits: Vec<_> = lines.lines.iter().filter(|it| it.message == "server-exited").collect();
    for line in exits {
        let (parts, server) = (parts_of(line), line.field("server"));
        for part in named.iter().filter(|it| parts.contains(it)) {
            let exited = servers.entry(part).or_default();
            if !exited.contains(&server) {
                exited.push(server.clone());
            }
        }
    }
    named.iter().filter_map(|it| Some((it.clone(), servers.remove(it.as_str())?))).collect()
}

/// Returns the parts of a prompt that a line names.
fn parts_of(line: &LogLine) -> Vec<String> {
    let parts = line.field("parts");
    let is_part = |it: &&str| !it.is_empty() && !it.starts_with('+');
    parts.split(',').filter(is_part).map(str::to_owned).collect()
}

/// Returns whether a line states that the request was sent to a server that was no longer listed.
fn used_unlisted_server(line: &LogLine) -> bool {
    let age = line.field("unlisted_ms");
    !age.is_empty() && !age.starts_with('-')
}

/// Returns the line about a refusal by the account's quota.
fn quota_refusal<'a>(own: &[&'a LogLine]) -> Option<&'a LogLine> {
    own.iter().rev().find(|it| it.message == "over-quota").copied()
}

/// Returns the newest line of each context event up to `until`; events of servers only for those in `servers`, events of
/// quota owners only for `account`.
fn known_before<'a>(
    lines: &'a LogLines,
    vm: &str,
    until: &str,
    servers: &[String],
    account: Option<&str>,
) -> Vec<&'a LogLine> {
    let mut newest: Vec<&LogLine> = Vec::new();
    let is_about = |it: &LogLine| {
        let server = it.field("server");
        let is_of_account = it.message != "quota-owner"
            || account.is_some_and(|account| it.field("account") == account);
        is_of_account && (server.is_empty() || servers.contains(&server))
    };
    let context = lines.lines.iter().filter(|it| {
        it.vm == vm
            && it.timestamp.as_str() <= until
            && CONTEXT_EVENTS.contains(&it.message.as_str())
            && is_about(it)
    });
    for line in context {
        let key = |it: &LogLine| (it.message.clone(), it.field("server"));
        newest.retain(|it| key(it) != key(line));
        newest.push(line);
    }
    newest
}

/// Describes how the request ended, according to its lines.
fn conclusion(own: &[&LogLine]) -> String {
    let find = |message: &str| own.iter().rev().find(|it| it.message == message);
    if let Some(line) = find("refused") {
        let ran = if line.field("outcome") == "NotRun" { "has not run" } else { "may have run" };
        let cause = line.field("cause");
        let owner = quota_refusal(own).map(|it| it.field("owner"));
        let by = owner.filter(|it| cause == "over-quota" && !it.is_empty());
        let by = by.map_or_else(String::new, |it| format!(", as {it} decided for all VMs"));
        return format!("refused, {cause}: {}{by}; it {ran}", hint(&cause));
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

/// Returns the meaning of a refusal's cause and the event that explains it.
fn hint(cause: &str) -> &'static str {
    match cause {
        "stale-config" => "the VM had no new proof of its configuration; see store-lost above",
        "busy" => "no server would have answered in time; see servers-ordered",
        "displaced" => "more urgent requests took the capacity that it waited for; see placed",
        "no-server" => "no server of the service was usable; see server-removed",
        "over-quota" => "the account had spent its quota over all VMs",
        "servers-refused" => {
            "no server that was asked ran it; see server-refused, connect-failed and peer-refused"
        }
        "cut-off" => "the VM could connect to no server of the service; see servers-unreachable",
        "stopping" => "the VM had SIGTERM; see draining above",
        "server-failed" => "a server took it and gave no whole answer; see exchange-failed",
        "quarantined" => {
            "servers exited under the same request, or a part of it; see server-exited above"
        }
        "late" => "a server took it and was silent until the deadline",
        "unknown-key" => "no account holds the key in this version",
        "no-route" => "no route of this version matches host and path",
        _ => "see docs/LOGS.md",
    }
}
