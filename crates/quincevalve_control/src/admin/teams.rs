//! Authentication and authorization of the administration API.

use http::{HeaderMap, header};
use quincevalve_inventory::KeyHash;
use quincevalve_names::ClientAccountName;
use serde::{Deserialize, Serialize};

use crate::change::Difference;

/// Permissions of a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AdminRole {
    /// May only read.
    Reader,
    /// May read, and change the team's own accounts.
    Editor,
    /// May read and change everything.
    Operator,
}

/// A team that uses the administration API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Name of the team, as recorded in the audit trail.
    pub name: String,
    /// Permissions of the team.
    pub role: AdminRole,
    /// Accounts that the team may change as an editor.
    #[serde(default)]
    pub accounts: Vec<ClientAccountName>,
    /// SHA-256 of the team's API key.
    pub key_sha256: KeyHash,
}

impl Team {
    /// Returns whether the team may make a change with these differences.
    pub(crate) fn may_change(&self, differences: &[Difference]) -> bool {
        match self.role {
            AdminRole::Reader => false,
            AdminRole::Operator => true,
            AdminRole::Editor => differences.iter().all(|it| self.owns_field(&it.field)),
        }
    }

    fn owns_field(&self, field: &str) -> bool {
        let rest = field.strip_prefix("account.");
        rest.is_some_and(|rest| {
            self.accounts.iter().any(|it| {
                let rest = rest.strip_prefix(it.as_str());
                rest.is_some_and(|it| it.is_empty() || it.starts_with('.'))
            })
        })
    }
}

/// Returns the team whose key the request carries.
///
/// Compares the key with that of every team, each in constant time.
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

    fn differences_in(fields: &[&str]) -> Vec<Difference> {
        let difference = |it: &&str| Difference {
            field: (*it).to_owned(),
            before: Value::Null,
            after: Value::Bool(true),
        };
        fields.iter().map(difference).collect()
    }

    // Guards against an editor changing another team's account whose name starts with the name of an own account.
    #[test]
    fn editors_change_only_their_own_accounts() {
        let editor = team(AdminRole::Editor);
        assert!(editor.may_change(&differences_in(&["account.hotel.weight"])));
        assert!(editor.may_change(&differences_in(&["account.hotel"])));
        assert!(!editor.may_change(&differences_in(&["account.hotel-desks.weight"])));
        assert!(
            !editor.may_change(&differences_in(&["account.hotel.weight", "class.desk.promise"]))
        );
        assert!(!editor.may_change(&differences_in(&["account"])));
    }

    #[test]
    fn readers_change_nothing_and_operators_everything() {
        let change = differences_in(&["class.desk.promise"]);
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
