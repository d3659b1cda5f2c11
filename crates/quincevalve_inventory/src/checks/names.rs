//! Reports names that can't be used in a URL, a metric key or a log line.
//!
//! Names are part of URL paths (`/s/{service}`), metric keys and key prefixes in the platform's store.
//!
//! Example: `service.seat booking: a name has 1 to 64 of a-z, A-Z, 0-9, '-', '_', '.'`.

use std::fmt::Display;

use super::Findings;
use crate::Inventory;

/// Maximum length of a name, in bytes.
const MAX_NAME_LENGTH: usize = 64;

pub(super) fn check(inventory: &Inventory, findings: &mut Findings<'_>) {
    check_names("region", inventory.region.keys(), findings);
    check_names("data_centre", inventory.data_centre.keys(), findings);
    check_names("account", inventory.account.keys(), findings);
    check_names("class", inventory.class.keys(), findings);
    check_names("model", inventory.model.keys(), findings);
    check_names("service", inventory.service.keys(), findings);
    check_names("vm_class", inventory.vm_class.keys(), findings);
    check_names("backend_server", inventory.backend_server.keys(), findings);
}

fn check_names<N>(table: &str, names: impl Iterator<Item = N>, findings: &mut Findings<'_>)
where
    N: Display,
{
    for name in names {
        let name = name.to_string();
        if !is_well_formed(&name) {
            let problem =
                format!("a name has 1 to {MAX_NAME_LENGTH} of a-z, A-Z, 0-9, '-', '_', '.'");
            findings.push(format!("{table}.{name}"), problem);
        }
    }
}

fn is_well_formed(name: &str) -> bool {
    let allowed = |it: u8| it.is_ascii_alphanumeric() || matches!(it, b'-' | b'_' | b'.');
    (1..=MAX_NAME_LENGTH).contains(&name.len()) && name.bytes().all(allowed)
}
