//! Reports servers, accounts and models with a limit, rate or weight of zero.
//!
//! Predictions divide by these numbers, and a server with zero slots would always appear to be idle.
//!
//! Example: `backend_server.a.slots: must be 1 or more`.

use super::Findings;
use crate::Inventory;

pub(super) fn check(inventory: &Inventory, findings: &mut Findings<'_>) {
    for (name, server) in &inventory.backend_server {
        let numbers = [
            ("slots", server.slots),
            ("prefill_tokens_per_s", server.prefill_tokens_per_s),
            ("token_us", server.token_us),
        ];
        for (field, value) in numbers {
            require_positive(format!("backend_server.{name}.{field}"), value, findings);
        }
    }
    for (name, account) in &inventory.account {
        require_positive(format!("account.{name}.weight"), account.weight, findings);
        let field = format!("account.{name}.max_concurrent");
        require_positive(field, account.max_concurrent, findings);
    }
    for (name, model) in &inventory.model {
        let field = format!("model.{name}.max_output_tokens");
        require_positive(field, model.max_output_tokens, findings);
    }
}

fn require_positive(field: String, value: u32, findings: &mut Findings<'_>) {
    if value == 0 {
        findings.push(field, "must be 1 or more".to_owned());
    }
}
