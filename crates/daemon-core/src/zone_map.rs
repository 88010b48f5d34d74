//! The map of zones that operators give for hosts they add: `add server` has no argument for a zone. It is set entry by
//! entry, or swapped whole by a prepared version (management guide, `prepare map`, `add map @<ver>`, `commit map`).

use std::collections::BTreeMap;

/// Entries at most, of the map and of each version.
const MAX_ENTRIES: usize = 10_000;
/// Versions under way at most: beyond that the oldest is dropped, as nobody may ever commit it.
const MAX_VERSIONS: usize = 8;

/// Why the map could not be changed or shown. The texts are answers to operators, with their line ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub(crate) enum ZoneMapError {
    /// No such version is under way.
    #[error("Version not found.\n")]
    VersionNotFound,
    /// The map or the version has as many entries as it may have.
    #[error("The map is full.\n")]
    Full,
}

/// Zone by host.
type Entries = BTreeMap<String, String>;

#[derive(Debug, Default)]
pub(crate) struct ZoneMap {
    entries: Entries,
    prepared: BTreeMap<u64, Entries>,
    last: u64,
}

impl ZoneMap {
    pub(crate) fn zone_of_host(&self, host: &str) -> Option<&String> {
        self.entries.get(host)
    }

    pub(crate) fn entries(&self) -> &Entries {
        &self.entries
    }

    /// Takes over the recovered map; versions under way are dropped.
    pub(crate) fn recover(&mut self, entries: Entries) {
        self.entries = entries;
    }

    pub(crate) fn version(&self, version: u64) -> Result<&Entries, ZoneMapError> {
        self.prepared
            .get(&version)
            .ok_or(ZoneMapError::VersionNotFound)
    }

    pub(crate) fn prepare(&mut self) -> u64 {
        self.last += 1;
        self.prepared.insert(self.last, Entries::new());
        if self.prepared.len() > MAX_VERSIONS {
            self.prepared.pop_first();
        }
        self.last
    }

    /// Adds or changes an entry, of a version or of the map itself.
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

    /// A version becomes the map; older ones under way can't be committed any more.
    pub(crate) fn commit(&mut self, version: u64) -> Result<(), ZoneMapError> {
        self.entries = self
            .prepared
            .remove(&version)
            .ok_or(ZoneMapError::VersionNotFound)?;
        self.prepared.retain(|other, _| *other > version);
        Ok(())
    }
}
