//! The part of the fleet that a change or an incident concerns.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A part of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// The whole fleet.
    Fleet,
    /// One site.
    Site(String),
    /// One tier, on all sites.
    Tier(String),
    /// The instances that hold the replicated state. They serve requests like all other instances, so this
    /// scope overlaps no site, tier, class or tenant.
    Replicas,
    /// One class of requests.
    Class(String),
    /// One tenant.
    Tenant(String),
    /// One instance.
    Instance {
        /// The site that the instance runs on.
        site: String,
        /// The instance's number in the fleet.
        rank: u32,
    },
}

/// The error for a text that is not a valid [`Scope`]; holds the text, truncated to [`crate::MAX_NAME_BYTES`]
/// characters.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no scope: fleet, keepers, site:NAME, tier:NAME, class:NAME, tenant:NAME or copy:SITE/RANK")]
pub struct ParseScopeError(String);

impl Scope {
    /// Whether some part of the fleet may belong to both scopes. Only scopes that are certainly disjoint do
    /// not overlap: a tier and a site overlap, as the tier may have backends at the site, and so do a class
    /// and a tenant.
    pub fn overlaps(&self, other: &Scope) -> bool {
        match (self, other) {
            (Scope::Site(a), Scope::Site(b))
            | (Scope::Tier(a), Scope::Tier(b))
            | (Scope::Class(a), Scope::Class(b))
            | (Scope::Tenant(a), Scope::Tenant(b)) => a == b,
            (Scope::Site(name), Scope::Instance { site, .. })
            | (Scope::Instance { site, .. }, Scope::Site(name)) => name == site,
            (Scope::Instance { .. }, Scope::Instance { .. }) => self == other,
            (Scope::Replicas, Scope::Site(_) | Scope::Tier(_) | Scope::Class(_) | Scope::Tenant(_)) => false,
            (Scope::Site(_) | Scope::Tier(_) | Scope::Class(_) | Scope::Tenant(_), Scope::Replicas) => false,
            _ => true,
        }
    }
}

impl FromStr for Scope {
    type Err = ParseScopeError;

    fn from_str(text: &str) -> Result<Scope, ParseScopeError> {
        let invalid = || ParseScopeError(text.chars().take(crate::MAX_NAME_BYTES).collect());
        match text {
            "fleet" => return Ok(Scope::Fleet),
            "keepers" => return Ok(Scope::Replicas),
            _ => {}
        }
        let (kind, name) = text.split_once(':').ok_or_else(invalid)?;
        if !crate::is_valid_name(name) {
            return Err(invalid());
        }
        let name = name.to_owned();
        match kind {
            "site" => Ok(Scope::Site(name)),
            "tier" => Ok(Scope::Tier(name)),
            "class" => Ok(Scope::Class(name)),
            "tenant" => Ok(Scope::Tenant(name)),
            "copy" => parse_instance(&name).ok_or_else(invalid),
            _ => Err(invalid()),
        }
    }
}

/// Parses `SITE/RANK`, the part of an instance's scope after `copy:`.
fn parse_instance(text: &str) -> Option<Scope> {
    let (site, rank) = text.rsplit_once('/')?;
    let rank = rank.parse().ok()?;
    (!site.is_empty()).then(|| Scope::Instance { site: site.to_owned(), rank })
}

impl fmt::Display for Scope {
    /// The form that [`FromStr`] parses. It is stored in audit records and shown to people, so it must not
    /// change.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Scope::Fleet => f.write_str("fleet"),
            Scope::Replicas => f.write_str("keepers"),
            Scope::Site(name) => write!(f, "site:{name}"),
            Scope::Tier(name) => write!(f, "tier:{name}"),
            Scope::Class(name) => write!(f, "class:{name}"),
            Scope::Tenant(name) => write!(f, "tenant:{name}"),
            Scope::Instance { site, rank } => write!(f, "copy:{site}/{rank}"),
        }
    }
}
