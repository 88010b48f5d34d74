//! What a steward is told at its start, and again when the operators move its surroundings.

use crate::registry::{self, ListError, Listed};
use pondarch_controller::DeploymentConfig;
use pondarch_deployment::Names;
use serde_json::Value;
use std::net::SocketAddr;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum ConfigError {
    #[error("cannot be read: {0}")]
    Json(#[from] serde_json::Error),
    #[error("'{0}' is missing or is no address")]
    Address(&'static str),
    #[error("settings: {0}")]
    Settings(#[from] pondarch_deployment::NoObject),
    #[error("known: {0}")]
    Known(#[from] ListError),
}

#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub around: Around,
    pub seed: u64,
    pub sockets: usize,
    pub known: Option<Listed>,
    pub ticket: DeploymentConfig,
    pub names: Names,
}

/// The parties that a steward goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Around {
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
}

/// What the environment says, for where the file lacks it.
#[derive(Clone, Debug, Default)]
pub struct Env {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub discovery: Option<String>,
}

/// Descriptors where the file names no limit.
const SOCKETS_USUAL: u64 = 256;

pub fn read(text: &[u8], env: &Env) -> Result<Config, ConfigError> {
    let mut all: Value = serde_json::from_slice(text)?;
    let around = around_of(&all, env)?;
    let known = all
        .get_mut("known")
        .map(Value::take)
        .filter(|known| !known.is_null());
    let (ticket, names) = pondarch_deployment::read(&all["settings"])?;
    let name = all["name"].as_str().or(env.name.as_deref());
    Ok(Config {
        name: name.unwrap_or("steward").to_string(),
        listen: address(&all["listen"], &env.listen).ok_or(ConfigError::Address("listen"))?,
        around,
        seed: seed(&all["seed"]),
        sockets: all["limits"]["sockets"].as_u64().unwrap_or(SOCKETS_USUAL) as usize,
        known: known.map(registry::read_value).transpose()?,
        ticket,
        names,
    })
}

/// Only where the others are: all else stays as it was at the start.
pub fn read_around(text: &[u8], env: &Env) -> Result<Around, ConfigError> {
    around_of(&serde_json::from_slice(text)?, env)
}

fn around_of(all: &Value, env: &Env) -> Result<Around, ConfigError> {
    let relay = all["hub"]["address"]
        .as_str()
        .and_then(|text| text.parse().ok());
    Ok(Around {
        discovery: address(&all["discovery"], &env.discovery)
            .ok_or(ConfigError::Address("discovery"))?,
        relay: relay.ok_or(ConfigError::Address("hub.address"))?,
    })
}

fn address(value: &Value, otherwise: &Option<String>) -> Option<SocketAddr> {
    value.as_str().or(otherwise.as_deref())?.parse().ok()
}

/// Sixteen hex digits; anything else that is there is made a seed all the same.
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
