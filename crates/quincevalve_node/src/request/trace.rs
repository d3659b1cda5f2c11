//! Log lines of one request.

use std::cell::RefCell;

use quincevalve_forwarding::prompt_parts::PartDigest;

use crate::{clock, node::Node};

/// Maximum number of lines buffered for one request.
const MAX_BUFFERED_LINES: usize = 24;

#[derive(Debug)]
struct BufferedLine {
    name: &'static str,
    fields: String,
    at_ms: u64,
}

/// Buffered log lines of a request.
///
/// When the line budget is used up, lines are buffered until the request ends. All lines of a request that fails or is
/// late are written; lines of other requests are written only as far as the budget allows.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    buffered: RefCell<Vec<BufferedLine>>,
}

impl Trace {
    /// Buffers a line, or counts it as suppressed if the buffer is full.
    pub(crate) fn buffer(&self, node: &Node, name: &'static str, fields: String) {
        let mut buffered = self.buffered.borrow_mut();
        if buffered.len() < MAX_BUFFERED_LINES {
            buffered.push(BufferedLine { name, fields, at_ms: clock::now().as_micros() / 1_000 });
        } else {
            node.log_budget.borrow_mut().record_suppressed(1);
        }
    }

    /// Ends the trace: writes the buffered lines if the request failed or was late, and otherwise counts them as
    /// suppressed.
    pub(crate) fn end(&self, node: &Node, id: &str, was_bad: bool) {
        let buffered = self.buffered.take();
        if !was_bad {
            node.log_budget.borrow_mut().record_suppressed(buffered.len() as u64);
            return;
        }
        for line in buffered {
            log::info!(id, held_at_ms = line.at_ms, fields = line.fields; "{}", line.name);
        }
    }
}

/// Maximum number of parts of a prompt that a log line names.
const MAX_LOGGED_PARTS: usize = 8;

/// Returns how log lines name the parts of a prompt: comma-separated, and the number of those that are left out.
pub(crate) fn listed(parts: &[PartDigest]) -> String {
    let named: Vec<String> = parts.iter().take(MAX_LOGGED_PARTS).map(ToString::to_string).collect();
    let left_out = parts.len() - named.len();
    let more = if left_out > 0 { format!(",+{left_out}") } else { String::new() };
    named.join(",") + &more
}

/// Writes a log line of a request, or buffers it if the line budget is used up.
macro_rules! log_request {
    ($node:expr, $req:expr, $($key:ident = $value:expr),* ; $name:literal) => {
        if $node.log_budget.borrow_mut().take($crate::clock::now()) {
            log::info!(id = $req.id, $($key:% = $value),*; $name);
        } else {
            let fields = [$(format!("{}={}", stringify!($key), $value)),*].join(" ");
            $req.trace.buffer(&$node, $name, fields);
        }
    };
}
pub(crate) use log_request;
