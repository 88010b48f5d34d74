//! The configuration: the environment, the file that it names, and the reload of that file.

use crate::error::{ConfigFileError, PlatformError};
use pondarch_platform_protocol::config::{
    self, EnvironmentDefaults, PlatformConfig, UpstreamAddresses,
};
use std::path::PathBuf;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};

/// Delay between two attempts to reload an unreadable or invalid configuration file.
const RELOAD_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The configuration file, and the values from the environment for keys that it does not set.
pub(crate) struct ConfigFile {
    path: PathBuf,
    defaults: EnvironmentDefaults,
}

impl ConfigFile {
    /// Returns the file that the environment names.
    pub(crate) fn from_environment() -> Result<ConfigFile, PlatformError> {
        let variable = |name| std::env::var(name).ok().filter(|value| !value.is_empty());
        let path = variable("RELAY_CONFIG").ok_or(PlatformError::NoConfig)?;
        Ok(ConfigFile {
            path: PathBuf::from(path),
            defaults: EnvironmentDefaults {
                name: variable("RELAY_NAME"),
                listen: variable("RELAY_LISTEN"),
                registry: variable("RELAY_DISCOVERY"),
            },
        })
    }

    pub(crate) fn read(&self) -> Result<PlatformConfig, PlatformError> {
        self.read_all().map_err(|source| PlatformError::Config {
            path: self.path.clone(),
            source,
        })
    }

    fn read_all(&self) -> Result<PlatformConfig, ConfigFileError> {
        Ok(config::parse(&std::fs::read(&self.path)?, &self.defaults)?)
    }

    fn read_upstreams(&self) -> Result<UpstreamAddresses, ConfigFileError> {
        let text = std::fs::read(&self.path)?;
        Ok(config::parse_upstreams(&text, &self.defaults)?)
    }
}

/// The reload of the upstreams' addresses after SIGHUP, which is retried until the file is valid.
pub(crate) struct Reload {
    file: ConfigFile,
    due_at: Option<Instant>,
    failure_logged: bool,
}

impl Reload {
    pub(crate) fn new(file: ConfigFile) -> Reload {
        Reload {
            file,
            due_at: None,
            failure_logged: false,
        }
    }

    /// Returns when to read the file, or `None` if no reload is pending.
    pub(crate) fn due_at(&self) -> Option<Instant> {
        self.due_at
    }

    pub(crate) fn request(&mut self) {
        self.due_at = Some(Instant::now());
        self.failure_logged = false;
    }

    /// Reads the upstreams' addresses. A failure is logged once per requested reload and retried after a delay.
    pub(crate) fn read(&mut self) -> Option<UpstreamAddresses> {
        match self.file.read_upstreams() {
            Ok(upstreams) => {
                info!(registry = %upstreams.registry, relay = %upstreams.relay, "configuration reloaded");
                self.due_at = None;
                Some(upstreams)
            }
            Err(error) => {
                if !self.failure_logged {
                    self.failure_logged = true;
                    warn!(path = %self.file.path.display(), %error, "configuration reload failed, the last one stays in force");
                }
                self.due_at = Some(Instant::now() + RELOAD_RETRY_DELAY);
                None
            }
        }
    }
}
