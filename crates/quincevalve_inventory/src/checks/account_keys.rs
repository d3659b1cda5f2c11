//! Reports accounts without an API key, and API keys that belong to several accounts.
//!
//! A key identifies the account that is billed and whose answers the caller may read. If two accounts had the same key,
//! one customer could be billed for the requests of another, or re-attach to them.
//!
//! Example: `account.hotel.key_sha256: the account has no key, so nobody can call with it`.

use super::Findings;
use crate::Inventory;

pub(super) fn check(inventory: &Inventory, findings: &mut Findings<'_>) {
    let mut seen = std::collections::HashMap::new();
    for (name, account) in &inventory.account {
        let field = format!("account.{name}.key_sha256");
        if account.key_sha256.is_empty() {
            findings.push(field, "the account has no key, so nobody can call with it".to_owned());
            continue;
        }
        for key in &account.key_sha256 {
            if let Some(other) = seen.insert(*key, name).filter(|it| *it != name) {
                let problem = format!("a key of this account is also one of `{other}`");
                findings.push(field.clone(), problem);
            }
        }
    }
}
