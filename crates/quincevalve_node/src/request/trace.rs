//! The log lines of one request.

use std::cell::RefCell;

use crate::{clock, node::Node};

/// Lines that are held for one request at most.
const HELD_LINES: usize = 24;

#[derive(Debug)]
struct Held {
    name: &'static str,
    fields: String,
    at_ms: u64,
}

/// What is told of a request. Under load lines are held until it is known whether they are worth writing:
/// each line of a request that fails or is late is written, and of the others as many as the budget allows.
#[derive(Debug, Default)]
pub(crate) struct Trace {
    held: RefCell<Vec<Held>>,
}

impl Trace {
    pub(crate) fn hold(&self, node: &Node, name: &'static str, fields: String) {
        let mut held = self.held.borrow_mut();
        if held.len() < HELD_LINES {
            held.push(Held { name, fields, at_ms: clock::now().as_micros() / 1_000 });
        } else {
            node.log_budget.borrow_mut().record_suppressed(1);
        }
    }

    /// Ends the trace: held lines are written if the request came to a bad end.
    pub(crate) fn end(&self, node: &Node, id: &str, was_bad: bool) {
        let held = self.held.take();
        if !was_bad {
            node.log_budget.borrow_mut().record_suppressed(held.len() as u64);
            return;
        }
        for line in held {
            log::info!(id, held_at_ms = line.at_ms, fields = line.fields; "{}", line.name);
        }
    }
}

/// Writes a line of a request, or holds it where the budget for lines is used up.
macro_rules! note {
    ($node:expr, $req:expr, $($key:ident = $value:expr),* ; $name:literal) => {
        if $node.log_budget.borrow_mut().take($crate::clock::now()) {
            log::info!(id = $req.id, $($key:% = $value),*; $name);
        } else {
            let fields = [$(format!("{}={}", stringify!($key), $value)),*].join(" ");
            $req.trace.hold(&$node, $name, fields);
        }
    };
}
pub(crate) use note;
