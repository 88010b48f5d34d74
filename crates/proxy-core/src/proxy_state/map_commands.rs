//! Runtime API commands for maps and their prepared versions.

use super::{MapEntries, ProxyState, StateError};
use pondarch_runtime_api::info::write_map;

/// Maximum number of entries in a map.
const MAX_MAP_ENTRIES: usize = 10_000;
/// Maximum number of prepared versions of all maps together.
const MAX_PREPARED_VERSIONS: usize = 16;

/// The reply to a `prepare map` command.
pub(crate) fn version_created(version: u64) -> String {
    format!("New version created: {version}\n")
}

impl ProxyState {
    /// The entries of a prepared version of a map.
    #[must_use]
    pub fn prepared_entries(&self, map: &str, version: u64) -> Option<&MapEntries> {
        self.prepared.get(&(map.to_string(), version))
    }

    /// Prepares an empty version of a map and returns its number.
    pub fn prepare_map(&mut self, map: &str) -> Result<u64, StateError> {
        if !self.maps.contains_key(map) {
            return Err(StateError::NoMapToPrepare);
        }
        self.last_map_version += 1;
        self.prepared
            .insert((map.to_string(), self.last_map_version), MapEntries::new());
        if self.prepared.len() > MAX_PREPARED_VERSIONS {
            self.drop_oldest_prepared();
        }
        Ok(self.last_map_version)
    }

    /// Drops the oldest prepared version, which may be one that is never committed.
    fn drop_oldest_prepared(&mut self) {
        let oldest = self
            .prepared
            .keys()
            .min_by_key(|(_, version)| *version)
            .cloned();
        if let Some(oldest) = oldest {
            self.prepared.remove(&oldest);
        }
    }

    pub(super) fn show_maps(&self) -> String {
        self.maps
            .keys()
            .map(|map| format!("0 ({map}) map\n"))
            .collect()
    }

    pub(super) fn show_map(&self, map: String, version: Option<u64>) -> Result<String, StateError> {
        let entries = match version {
            None => self.maps.get(&map).ok_or(StateError::NoMap)?,
            Some(version) => self
                .prepared
                .get(&(map, version))
                .ok_or(StateError::NoVersion)?,
        };
        Ok(write_map(entries.iter()))
    }

    pub(super) fn get_map_entry(&self, map: &str, key: &str) -> Result<String, StateError> {
        let entries = self.maps.get(map).ok_or(StateError::NoMap)?;
        Ok(match entries.get(key) {
            Some(value) => format!("found=yes, value=\"{value}\"\n"),
            None => "found=no\n".into(),
        })
    }

    pub(super) fn add_prepared_entry(
        &mut self,
        map: String,
        version: u64,
        key: String,
        value: String,
    ) -> Result<String, StateError> {
        let entries = self
            .prepared
            .get_mut(&(map, version))
            .ok_or(StateError::NoVersion)?;
        if entries.len() >= MAX_MAP_ENTRIES {
            return Err(StateError::MapFull);
        }
        entries.insert(key, value);
        Ok(String::new())
    }

    pub(super) fn add_map_entry(
        &mut self,
        map: &str,
        key: String,
        value: String,
    ) -> Result<String, StateError> {
        let entries = self.map_mut(map)?;
        if entries.len() >= MAX_MAP_ENTRIES && !entries.contains_key(&key) {
            return Err(StateError::MapFull);
        }
        entries.insert(key, value);
        Ok(String::new())
    }

    pub(super) fn set_map_entry(
        &mut self,
        map: &str,
        key: &str,
        value: String,
    ) -> Result<String, StateError> {
        let entry = self.map_mut(map)?.get_mut(key);
        *entry.ok_or(StateError::NoEntry)? = value;
        Ok(String::new())
    }

    pub(super) fn delete_map_entry(&mut self, map: &str, key: &str) -> Result<String, StateError> {
        let removed = self.map_mut(map)?.remove(key);
        removed.map(|_| String::new()).ok_or(StateError::NoKey)
    }

    pub(super) fn clear_map(
        &mut self,
        map: String,
        version: Option<u64>,
    ) -> Result<String, StateError> {
        match version {
            None => self.map_mut(&map)?.clear(),
            Some(version) => {
                self.prepared.remove(&(map, version));
            }
        }
        Ok(String::new())
    }

    pub(super) fn commit_map(&mut self, map: String, version: u64) -> Result<String, StateError> {
        let entries = self
            .prepared
            .remove(&(map.clone(), version))
            .ok_or(StateError::NoVersion)?;
        self.maps.insert(map, entries);
        Ok(String::new())
    }

    fn map_mut(&mut self, map: &str) -> Result<&mut MapEntries, StateError> {
        self.maps.get_mut(map).ok_or(StateError::NoMap)
    }
}
