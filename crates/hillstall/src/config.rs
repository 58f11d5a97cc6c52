//! The platform's configuration of a proxy: the file that `NODE_CONFIG` names, and the environment.

use hillstall_decision::Settings;
use hillstall_proxy_core::endpoints::EndpointList;
use hillstall_settings::SettingsError;
use serde::Deserialize;
use serde_json::Value;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;

/// File descriptors that the process may use where the configuration sets no limit.
const DEFAULT_SOCKETS: usize = 1_024;
/// Memory, in MiB, that the process may use where the configuration sets no limit.
const DEFAULT_MEMORY_MB: usize = 192;

/// The platform's configuration of a proxy.
pub struct Config {
    /// The address that the proxy listens on for clients.
    pub listen: SocketAddr,
    /// The address to listen on for admin commands; without one there are no admin commands.
    pub admin: Option<SocketAddr>,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The seed of the decision module's random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors that the process may use.
    pub sockets: usize,
    /// Memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// The last endpoint list that this proxy had before the present process was started; used until
    /// discovery sends a newer one.
    pub known_endpoints: EndpointList,
    /// The settings of the decision module.
    pub settings: Settings,
}

/// Why the configuration can't be loaded.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The variable `NODE_CONFIG`, which names the file, is not set.
    #[error("NODE_CONFIG is not set")]
    NoFile,
    /// The file can't be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The path of the file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The content of the file is invalid.
    #[error("{path}: {source}")]
    Invalid {
        /// The path of the file.
        path: String,
        /// The cause.
        source: ParseError,
    },
}

/// Why the text of a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ParseError {
    /// The text is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A key is missing or has a value of the wrong type.
    #[error(transparent)]
    Key(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Neither the file nor the environment has a required key.
    #[error("{key}: missing")]
    Missing {
        /// The name of the key.
        key: &'static str,
    },
    /// The value of a key is not an IP address with a port.
    #[error("{key}: {source}")]
    Address {
        /// The name of the key.
        key: &'static str,
        /// The cause.
        source: InvalidAddress,
    },
    /// The seed is invalid.
    #[error("seed: {0}")]
    Seed(#[from] InvalidSeed),
    /// The settings of the decision module are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// The text is not an IP address with a port.
#[derive(Debug, thiserror::Error)]
#[error("{text:?} is not an IP address with a port")]
pub struct InvalidAddress {
    text: String,
    source: AddrParseError,
}

/// The text is not a hexadecimal number of at most 64 bits.
#[derive(Debug, thiserror::Error)]
#[error("{text:?} is not a 64-bit hexadecimal number")]
pub struct InvalidSeed {
    text: String,
    source: ParseIntError,
}

/// The JSON form of the file. `expecting` fixes the text of the error for a file that is not an object,
/// whatever the name of the type.
#[derive(Deserialize)]
#[serde(expecting = "struct Raw")]
struct RawConfig {
    listen: Option<String>,
    admin_addr: Option<String>,
    discovery: Option<String>,
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    known: EndpointList,
    settings: Value,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// Loads the file that `NODE_CONFIG` names. `NODE_LISTEN`, `NODE_ADMIN_ADDR` and `NODE_DISCOVERY` take
/// precedence over the file's addresses.
pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, LoadError> {
    let (path, text) = read_file(&env)?;
    parse(&text, env).map_err(|source| LoadError::Invalid { path, source })
}

/// Loads the file again and returns its discovery address. Unlike at the start, the file takes precedence
/// over the environment: the environment of a running process can't have been changed by the operator, but
/// the file can.
pub fn reload(env: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, LoadError> {
    // `expecting` fixes the text of the error, as in `RawConfig`.
    #[derive(Deserialize)]
    #[serde(expecting = "struct Changed")]
    struct Reloaded {
        discovery: SocketAddr,
    }
    let (path, text) = read_file(&env)?;
    match serde_json::from_slice::<Reloaded>(&text) {
        Ok(reloaded) => Ok(reloaded.discovery),
        Err(error) => Err(LoadError::Invalid { path, source: error.into() }),
    }
}

/// Reads the file that `NODE_CONFIG` names; returns its path and content.
fn read_file(env: impl Fn(&str) -> Option<String>) -> Result<(String, Vec<u8>), LoadError> {
    let path = env("NODE_CONFIG").ok_or(LoadError::NoFile)?;
    match std::fs::read(&path) {
        Ok(text) => Ok((path, text)),
        Err(source) => Err(LoadError::Unreadable { path, source }),
    }
}

/// Parses an IP address with a port.
pub fn parse_address(text: &str) -> Result<SocketAddr, InvalidAddress> {
    text.parse().map_err(|source| InvalidAddress { text: text.to_string(), source })
}

/// Parses a seed, a hexadecimal number of at most 64 bits.
pub fn parse_seed(text: &str) -> Result<u64, InvalidSeed> {
    u64::from_str_radix(text, 16).map_err(|source| InvalidSeed { text: text.to_string(), source })
}

/// Parses the text of a configuration file; addresses in the environment take precedence over the file's.
pub fn parse(text: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, ParseError> {
    let raw: RawConfig = serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_slice(text))?;
    let admin = env("NODE_ADMIN_ADDR").or(raw.admin_addr);
    Ok(Config {
        listen: required_address("listen", env("NODE_LISTEN").or(raw.listen))?,
        admin: admin.map(|text| parse_address_of("admin_addr", &text)).transpose()?,
        discovery: required_address("discovery", env("NODE_DISCOVERY").or(raw.discovery))?,
        seed: parse_seed(&raw.seed)?,
        sockets: raw.limits.sockets.unwrap_or(DEFAULT_SOCKETS),
        memory_mb: raw.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
        known_endpoints: raw.known,
        settings: hillstall_settings::parse_settings(raw.settings.to_string().as_bytes())?,
    })
}

fn required_address(key: &'static str, text: Option<String>) -> Result<SocketAddr, ParseError> {
    let text = text.ok_or(ParseError::Missing { key })?;
    parse_address_of(key, &text)
}

fn parse_address_of(key: &'static str, text: &str) -> Result<SocketAddr, ParseError> {
    parse_address(text).map_err(|source| ParseError::Address { key, source })
}
