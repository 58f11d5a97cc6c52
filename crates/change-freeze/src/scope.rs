//! What a change or an incident touches.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A part of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// All of it.
    Fleet,
    /// A site.
    Site(String),
    /// A tier, over all sites.
    Tier(String),
    /// The copies that keep the fleet's state. They carry calls as others do, so this says nothing of any site.
    Replicas,
    /// A class of calls.
    Class(String),
    /// A tenant.
    Tenant(String),
    /// One copy, and the site it stands in.
    Instance {
        /// Its site.
        site: String,
        /// Its place in the fleet.
        rank: u32,
    },
}

/// A text that names no part of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is no scope: fleet, keepers, site:NAME, tier:NAME, class:NAME, tenant:NAME or copy:SITE/RANK")]
pub struct ParseScopeError(String);

impl Scope {
    /// Whether something may lie in both. Two parts are apart only where that is certain: a tier and a site meet, as the
    /// tier has servers there, and so do a class and a tenant.
    pub fn overlaps(&self, other: &Scope) -> bool {
        match (self, other) {
            (Scope::Site(a), Scope::Site(b))
            | (Scope::Tier(a), Scope::Tier(b))
            | (Scope::Class(a), Scope::Class(b))
            | (Scope::Tenant(a), Scope::Tenant(b)) => a == b,
            (Scope::Site(a), Scope::Instance { site, .. })
            | (Scope::Instance { site, .. }, Scope::Site(a)) => a == site,
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
        let bad = || ParseScopeError(text.chars().take(crate::MAX_NAME_BYTES).collect());
        match text {
            "fleet" => return Ok(Scope::Fleet),
            "keepers" => return Ok(Scope::Replicas),
            _ => {}
        }
        let (kind, name) = text.split_once(':').ok_or_else(bad)?;
        if !crate::is_valid_name(name) {
            return Err(bad());
        }
        let own = name.to_owned();
        match kind {
            "site" => Ok(Scope::Site(own)),
            "tier" => Ok(Scope::Tier(own)),
            "class" => Ok(Scope::Class(own)),
            "tenant" => Ok(Scope::Tenant(own)),
            "copy" => {
                let (site, rank) = name.rsplit_once('/').ok_or_else(bad)?;
                let rank = rank.parse().map_err(|_| bad())?;
                Some(Scope::Instance { site: site.to_owned(), rank })
                    .filter(|_| !site.is_empty())
                    .ok_or_else(bad)
            }
            _ => Err(bad()),
        }
    }
}

impl fmt::Display for Scope {
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
