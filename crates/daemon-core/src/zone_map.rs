//! The zone map: the zones of hosts that operators add, because `add server` has no argument for a zone. It is set
//! entry by entry, or replaced as a whole by a prepared version (management guide, `prepare map`, `add map @<ver>`,
//! `commit map`).

use std::collections::BTreeMap;

/// Maximum number of entries of the map, and of each prepared version.
const MAX_ENTRIES: usize = 10_000;
/// Maximum number of prepared versions: beyond that the oldest is dropped, as it may never be committed.
const MAX_VERSIONS: usize = 8;

/// Why the map could not be changed or shown. The texts are replies to operators, with their line ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum ZoneMapError {
    /// No prepared version has this number.
    #[error("Version not found.\n")]
    VersionNotFound,
    /// The map or the version has the maximum number of entries.
    #[error("The map is full.\n")]
    Full,
}

/// Zone by host.
type Entries = BTreeMap<String, String>;

#[derive(Debug, Default)]
pub(crate) struct ZoneMap {
    entries: Entries,
    /// Versions that were prepared and not committed.
    prepared: BTreeMap<u64, Entries>,
    /// Number of the latest prepared version.
    last_version: u64,
}

impl ZoneMap {
    pub(crate) fn zone_of_host(&self, host: &str) -> Option<&String> {
        self.entries.get(host)
    }

    pub(crate) fn entries(&self) -> &Entries {
        &self.entries
    }

    /// Restores the map of the previous run; prepared versions are not kept over a restart.
    pub(crate) fn recover(&mut self, entries: Entries) {
        self.entries = entries;
    }

    pub(crate) fn version(&self, version: u64) -> Result<&Entries, ZoneMapError> {
        self.prepared
            .get(&version)
            .ok_or(ZoneMapError::VersionNotFound)
    }

    pub(crate) fn prepare(&mut self) -> u64 {
        self.last_version += 1;
        self.prepared.insert(self.last_version, Entries::new());
        if self.prepared.len() > MAX_VERSIONS {
            self.prepared.pop_first();
        }
        self.last_version
    }

    /// Adds or changes an entry of a prepared version or of the map itself.
    pub(crate) fn set(
        &mut self,
        version: Option<u64>,
        host: &str,
        zone: &str,
    ) -> Result<(), ZoneMapError> {
        let entries = match version {
            None => &mut self.entries,
            Some(version) => self
                .prepared
                .get_mut(&version)
                .ok_or(ZoneMapError::VersionNotFound)?,
        };
        if entries.len() >= MAX_ENTRIES && !entries.contains_key(host) {
            return Err(ZoneMapError::Full);
        }
        entries.insert(host.to_string(), zone.to_string());
        Ok(())
    }

    pub(crate) fn remove(&mut self, host: &str) -> bool {
        self.entries.remove(host).is_some()
    }

    pub(crate) fn clear(&mut self, version: Option<u64>) -> Result<(), ZoneMapError> {
        match version {
            None => self.entries.clear(),
            Some(version) => self
                .prepared
                .get_mut(&version)
                .ok_or(ZoneMapError::VersionNotFound)?
                .clear(),
        }
        Ok(())
    }

    /// Replaces the map by a prepared version; older prepared versions are dropped.
    pub(crate) fn commit(&mut self, version: u64) -> Result<(), ZoneMapError> {
        self.entries = self
            .prepared
            .remove(&version)
            .ok_or(ZoneMapError::VersionNotFound)?;
        self.prepared.retain(|other, _| *other > version);
        Ok(())
    }
}
