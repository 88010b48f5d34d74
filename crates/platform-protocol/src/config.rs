//! The configuration file, read at the start, and again when the operators move the upstreams.

use crate::registry::{self, EndpointListError, RegistryList};
use pondarch_controller::DeploymentConfig;
use pondarch_deployment::{DeploymentNames, SettingsError};
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// Descriptors that the controller may open where the file names no limit.
const DEFAULT_MAX_DESCRIPTORS: u64 = 256;
/// The controller's name where neither the file nor the environment gives one.
const DEFAULT_NAME: &str = "steward";

/// Why a configuration can't be read.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// The file isn't JSON.
    #[error("cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// An address, named by its key, is missing or can't be parsed.
    #[error("'{0}' is missing or is no address")]
    Address(&'static str),
    /// The deployment's settings can't be read.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The endpoint list that the file holds can't be read.
    #[error("known: {0}")]
    KnownEndpoints(#[from] EndpointListError),
}

/// A controller's configuration on the platform.
#[derive(Debug)]
pub struct PlatformConfig {
    /// The controller's name, for its log.
    pub name: String,
    /// The address for collectors and pings.
    pub listen: SocketAddr,
    /// The programs that the controller dials.
    pub upstreams: UpstreamAddresses,
    /// The seed of all random draws.
    pub seed: u64,
    /// Descriptors that the controller may open.
    pub max_descriptors: usize,
    /// The last endpoint list that the operators know of.
    pub known_endpoints: Option<RegistryList>,
    /// What the controller serves.
    pub deployment: DeploymentConfig,
    /// The names that the deployment's settings number.
    pub names: DeploymentNames,
}

/// The addresses of the programs that the controller dials.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamAddresses {
    /// The registry, which serves the endpoint list.
    pub registry: SocketAddr,
    /// The relay, which carries updates to the proxies.
    pub relay: SocketAddr,
}

/// Values from the environment, used where the file lacks them.
#[derive(Clone, Debug, Default)]
pub struct EnvironmentDefaults {
    /// The controller's name.
    pub name: Option<String>,
    /// The address to listen at.
    pub listen: Option<String>,
    /// The registry's address.
    pub registry: Option<String>,
}

/// Reads a configuration file.
pub fn parse(text: &[u8], defaults: &EnvironmentDefaults) -> Result<PlatformConfig, ConfigError> {
    let mut file: Value = serde_json::from_slice(text)?;
    let upstreams = upstreams_of(&file, defaults)?;
    let known_endpoints = file
        .get_mut("known")
        .map(Value::take)
        .filter(|known| !known.is_null());
    let (deployment, names) = pondarch_deployment::read(&file["settings"])?;
    let name = file["name"].as_str().or(defaults.name.as_deref());
    Ok(PlatformConfig {
        name: name.unwrap_or(DEFAULT_NAME).to_string(),
        listen: address(&file["listen"], defaults.listen.as_deref())
            .ok_or(ConfigError::Address("listen"))?,
        upstreams,
        seed: seed(&file["seed"]),
        max_descriptors: file["limits"]["sockets"]
            .as_u64()
            .unwrap_or(DEFAULT_MAX_DESCRIPTORS) as usize,
        known_endpoints: known_endpoints.map(registry::parse_value).transpose()?,
        deployment,
        names,
    })
}

/// Reads only the upstreams' addresses: all else stays as it was at the start.
pub fn parse_upstreams(
    text: &[u8],
    defaults: &EnvironmentDefaults,
) -> Result<UpstreamAddresses, ConfigError> {
    upstreams_of(&serde_json::from_slice(text)?, defaults)
}

fn upstreams_of(
    file: &Value,
    defaults: &EnvironmentDefaults,
) -> Result<UpstreamAddresses, ConfigError> {
    let relay = address(&file["hub"]["address"], None);
    Ok(UpstreamAddresses {
        registry: address(&file["discovery"], defaults.registry.as_deref())
            .ok_or(ConfigError::Address("discovery"))?,
        relay: relay.ok_or(ConfigError::Address("hub.address"))?,
    })
}

fn address(value: &Value, default: Option<&str>) -> Option<SocketAddr> {
    value.as_str().or(default)?.parse().ok()
}

/// Sixteen hexadecimal digits; any other value is hashed into a seed.
fn seed(value: &Value) -> u64 {
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| {
        text.bytes().fold(0, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(byte.into())
        })
    })
}
