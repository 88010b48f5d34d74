//! Parses the configuration file. It is read at start-up, and again when the operators change the upstreams' addresses.

use crate::registry::{self, EndpointListError, RegistryList};
use pondarch_controller::DeploymentConfig;
use pondarch_deployment::{DeploymentNames, SettingsError};
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

/// Maximum number of open file descriptors if the file sets no limit.
const DEFAULT_MAX_DESCRIPTORS: u64 = 256;
/// The controller's name if neither the file nor the environment sets one.
const DEFAULT_NAME: &str = "steward";

/// Why a configuration is invalid.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// The file is not JSON.
    #[error("cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    /// The address at this key is missing or cannot be parsed.
    #[error("'{0}' is missing or is not an address")]
    Address(&'static str),
    /// The deployment's settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The endpoint list in the file is invalid.
    #[error("known: {0}")]
    KnownEndpoints(#[from] EndpointListError),
}

/// The configuration of a controller on the platform.
#[derive(Debug)]
pub struct PlatformConfig {
    /// The controller's name, for its log.
    pub name: String,
    /// The address to listen on for collectors and pings.
    pub listen: SocketAddr,
    /// The addresses of the registry and the relay.
    pub upstreams: UpstreamAddresses,
    /// The seed of the random number generator.
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// The last endpoint list known to the operators, for use until the registry sends one.
    pub known_endpoints: Option<RegistryList>,
    /// The settings of the deployment that the controller serves.
    pub deployment: DeploymentConfig,
    /// The names in the deployment's settings, by number.
    pub names: DeploymentNames,
}

/// The addresses of the programs that the controller connects to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamAddresses {
    /// The registry, which serves the endpoint list.
    pub registry: SocketAddr,
    /// The relay, which carries updates to the proxies.
    pub relay: SocketAddr,
}

/// Values from the environment, used if the file does not set them.
#[derive(Clone, Debug, Default)]
pub struct EnvironmentDefaults {
    /// The controller's name.
    pub name: Option<String>,
    /// The address to listen on.
    pub listen: Option<String>,
    /// The registry's address.
    pub registry: Option<String>,
}

/// Parses a configuration file.
pub fn parse(text: &[u8], defaults: &EnvironmentDefaults) -> Result<PlatformConfig, ConfigError> {
    let mut file: Value = serde_json::from_slice(text)?;
    let upstreams = parse_upstream_addresses(&file, defaults)?;
    let known_endpoints = file
        .get_mut("known")
        .map(Value::take)
        .filter(|known| !known.is_null());
    let (deployment, names) = pondarch_deployment::read(&file["settings"])?;
    let name = file["name"].as_str().or(defaults.name.as_deref());
    Ok(PlatformConfig {
        name: name.unwrap_or(DEFAULT_NAME).to_string(),
        listen: parse_address(&file["listen"], defaults.listen.as_deref())
            .ok_or(ConfigError::Address("listen"))?,
        upstreams,
        seed: parse_seed(&file["seed"]),
        max_descriptors: file["limits"]["sockets"]
            .as_u64()
            .unwrap_or(DEFAULT_MAX_DESCRIPTORS) as usize,
        known_endpoints: known_endpoints.map(registry::parse_value).transpose()?,
        deployment,
        names,
    })
}

/// Parses only the upstreams' addresses: nothing else is changed by a reload.
pub fn parse_upstreams(
    text: &[u8],
    defaults: &EnvironmentDefaults,
) -> Result<UpstreamAddresses, ConfigError> {
    parse_upstream_addresses(&serde_json::from_slice(text)?, defaults)
}

fn parse_upstream_addresses(
    file: &Value,
    defaults: &EnvironmentDefaults,
) -> Result<UpstreamAddresses, ConfigError> {
    let relay = parse_address(&file["hub"]["address"], None);
    Ok(UpstreamAddresses {
        registry: parse_address(&file["discovery"], defaults.registry.as_deref())
            .ok_or(ConfigError::Address("discovery"))?,
        relay: relay.ok_or(ConfigError::Address("hub.address"))?,
    })
}

fn parse_address(value: &Value, default: Option<&str>) -> Option<SocketAddr> {
    value.as_str().or(default)?.parse().ok()
}

/// Parses a seed of up to 16 hexadecimal digits; any other value is hashed into a seed.
fn parse_seed(value: &Value) -> u64 {
    let text = value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string);
    u64::from_str_radix(&text, 16).unwrap_or_else(|_| {
        text.bytes().fold(0, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(byte.into())
        })
    })
}
