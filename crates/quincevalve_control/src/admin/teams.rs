//! Who may administer what.

use http::{HeaderMap, header};
use quincevalve_inventory::KeyHash;
use quincevalve_names::ClientAccountName;
use serde::{Deserialize, Serialize};

use crate::change::Difference;

/// What a team may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminRole {
    /// Read.
    Reader,
    /// Read, and change its own accounts.
    Editor,
    /// Everything.
    Operator,
}

/// A team of the operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name, for the audit trail.
    pub name: String,
    /// What it may do.
    pub role: AdminRole,
    /// The accounts that an editor may change.
    #[serde(default)]
    pub accounts: Vec<ClientAccountName>,
    /// The SHA-256 of its key.
    pub key_sha256: KeyHash,
}

impl Team {
    /// Whether the team may make a change that touches these fields.
    pub(crate) fn may_change(&self, differences: &[Difference]) -> bool {
        match self.role {
            AdminRole::Reader => false,
            AdminRole::Operator => true,
            AdminRole::Editor => differences.iter().all(|it| self.owns(&it.field)),
        }
    }

    fn owns(&self, field: &str) -> bool {
        let rest = field.strip_prefix("account.");
        rest.is_some_and(|rest| {
            self.accounts.iter().any(|it| {
                let rest = rest.strip_prefix(it.as_str());
                rest.is_some_and(|it| it.is_empty() || it.starts_with('.'))
            })
        })
    }
}

/// Finds the team of a key. Every row is compared, each in constant time.
pub(crate) fn find_team<'a>(teams: &'a [Team], headers: &HeaderMap) -> Option<&'a Team> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let hash = KeyHash::of(value.strip_prefix("Bearer ")?.trim());
    teams.iter().fold(None, |found, it| if it.key_sha256.matches(&hash) { Some(it) } else { found })
}

#[cfg(test)]
mod tests {
    use serde_json::Value;

    use super::*;

    fn team(role: AdminRole) -> Team {
        let accounts = vec!["hotel".into()];
        Team { name: "t".to_owned(), role, accounts, key_sha256: KeyHash::of("key") }
    }

    fn touches(fields: &[&str]) -> Vec<Difference> {
        let difference = |it: &&str| Difference {
            field: (*it).to_owned(),
            before: Value::Null,
            after: Value::Bool(true),
        };
        fields.iter().map(difference).collect()
    }

    // Another team's account was changed by an editor whose own account's name is the start of its name.
    #[test]
    fn an_editor_changes_only_its_own_accounts() {
        let editor = team(AdminRole::Editor);
        assert!(editor.may_change(&touches(&["account.hotel.weight"])));
        assert!(editor.may_change(&touches(&["account.hotel"])));
        assert!(!editor.may_change(&touches(&["account.hotel-desks.weight"])));
        assert!(!editor.may_change(&touches(&["account.hotel.weight", "class.desk.promise"])));
        assert!(!editor.may_change(&touches(&["account"])));
    }

    #[test]
    fn readers_change_nothing_and_operators_everything() {
        let change = touches(&["class.desk.promise"]);
        assert!(!team(AdminRole::Reader).may_change(&change));
        assert!(team(AdminRole::Operator).may_change(&change));
    }

    #[test]
    fn a_key_finds_its_team_only() {
        let teams = [team(AdminRole::Operator)];
        let mut headers = HeaderMap::new();
        assert!(find_team(&teams, &headers).is_none());
        headers.insert(header::AUTHORIZATION, http::HeaderValue::from_static("Bearer guess"));
        assert!(find_team(&teams, &headers).is_none());
        headers.insert(header::AUTHORIZATION, http::HeaderValue::from_static("Bearer key"));
        assert!(find_team(&teams, &headers).is_some());
    }
}
