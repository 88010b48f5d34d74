//! A fleet and what is asked of it. Work is counted in seconds of one core of speed 1.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Hosts, tables and reqs a second that make sense; beyond these a figure is a mistake.
const HOSTS_MOST: usize = 20_000;
const TABLES_MOST: usize = 2_000;
const RATE_MOST: f64 = 1e7;
/// Time in which a figure of others' load loses half its say.
const TAKEN_HALF_S: f64 = 10.0;
/// Part of a host that others can be taken to use at most: nobody can say more for sure.
const TAKEN_MOST: f64 = 0.9;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Host {
    pub name: String,
    /// Place of its zone.
    pub zone: usize,
    pub cores: f64,
    /// Work of one core a second; 1 is the yardstick.
    pub speed: f64,
    /// Reqs that it works on at one time at most; none: as many as it has cores.
    pub connections: Option<f64>,
    /// The part of its work that it can do now: under 1 while it is cold.
    pub warm: f64,
    /// Work a second that it does for others than the demand of this fleet, and how old that figure is in seconds.
    pub taken: f64,
    pub taken_age_s: f64,
}

impl Host {
    /// Work it can do a second, now.
    pub fn capacity(&self) -> f64 {
        self.connections
            .map_or(self.cores, |most| most.min(self.cores))
            * self.speed
            * self.warm
    }

    /// Others' work a second as far as an old figure still says anything.
    pub fn taken_now(&self) -> f64 {
        (self.taken * 0.5f64.powf(self.taken_age_s / TAKEN_HALF_S))
            .min(TAKEN_MOST * self.capacity())
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kind {
    pub name: String,
    /// Seconds of a core of speed 1, each req.
    pub work_s: f64,
    pub response_target_s: f64,
    pub benefit: f64,
}

/// Some hosts, and the reqs a second that go to them: `rates[zone][kind]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Table {
    pub name: String,
    /// Places of its hosts; none: all of the fleet.
    pub hosts: Option<Vec<usize>>,
    pub rates: Vec<Vec<f64>>,
}

impl Table {
    /// One table of all hosts.
    pub fn of_all(rates: Vec<Vec<f64>>) -> Table {
        Table {
            name: "all".into(),
            hosts: None,
            rates,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    pub zones: Vec<String>,
    pub kinds: Vec<Kind>,
    pub hosts: Vec<Host>,
    pub tables: Vec<Table>,
    /// What a crossing of zones costs, as a part of the mean benefit of a req.
    pub crossing: f64,
}

/// A figure that cannot be, and where it stands.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ModelError {
    #[error("{0}: {1} is not within {2} and {3}")]
    Range(String, f64, f64, f64),
    #[error("{0}: {1} where {2} are due")]
    Count(String, usize, usize),
    #[error("{0}: place {1} of {2}")]
    Place(String, usize, usize),
    #[error("{0} {1}; {2} at most")]
    TooMany(usize, &'static str, usize),
}

impl Fleet {
    /// Errors: the first figure that is negative, huge or no number, or lists that do not fit each other.
    pub fn check(&self) -> Result<(), ModelError> {
        if self.hosts.len() > HOSTS_MOST {
            return Err(ModelError::TooMany(self.hosts.len(), "hosts", HOSTS_MOST));
        }
        if self.tables.len() > TABLES_MOST {
            return Err(ModelError::TooMany(
                self.tables.len(),
                "tables",
                TABLES_MOST,
            ));
        }
        within("crossing", self.crossing, 0.0, 1.0)?;
        for kind in &self.kinds {
            let key = |figure: &str| format!("kind {}: {figure}", kind.name);
            within(&key("work"), kind.work_s, 1e-6, 3_600.0)?;
            within(
                &key("response target"),
                kind.response_target_s,
                1e-6,
                3_600.0,
            )?;
            within(&key("benefit"), kind.benefit, 0.0, 1e9)?;
        }
        for host in &self.hosts {
            let key = |figure: &str| format!("host {}: {figure}", host.name);
            within(&key("cores"), host.cores, 1e-3, 4_096.0)?;
            within(&key("speed"), host.speed, 1e-3, 1e3)?;
            within(
                &key("connections"),
                host.connections.unwrap_or(1.0),
                1e-3,
                1e6,
            )?;
            within(&key("warm"), host.warm, 1e-3, 1.0)?;
            within(&key("taken"), host.taken, 0.0, 1e7)?;
            within(&key("age of taken"), host.taken_age_s, 0.0, 1e9)?;
            place(&key("zone"), host.zone, self.zones.len())?;
        }
        self.tables
            .iter()
            .try_for_each(|table| self.check_table(table))
    }

    fn check_table(&self, table: &Table) -> Result<(), ModelError> {
        let key = |of: &str| format!("table {}: demand{of}", table.name);
        for host in table.hosts.iter().flatten() {
            place(
                &format!("table {}: hosts", table.name),
                *host,
                self.hosts.len(),
            )?;
        }
        count(&key(": zones"), table.rates.len(), self.zones.len())?;
        for (zone, rates) in self.zones.iter().zip(&table.rates) {
            count(
                &key(&format!(" of {zone}: kinds")),
                rates.len(),
                self.kinds.len(),
            )?;
            for (kind, rate) in self.kinds.iter().zip(rates) {
                within(
                    &key(&format!(" of {zone}: {}", kind.name)),
                    *rate,
                    0.0,
                    RATE_MOST,
                )?;
            }
        }
        Ok(())
    }

    /// Places of a table's hosts.
    pub fn hosts_of<'a>(&'a self, table: &'a Table) -> impl Iterator<Item = usize> + Clone + 'a {
        let listed = table.hosts.iter().flatten().copied();
        listed.chain(
            0..if table.hosts.is_none() {
                self.hosts.len()
            } else {
                0
            },
        )
    }

    /// Each demand: reqs a second, and their kind.
    pub fn asked(&self) -> impl Iterator<Item = (f64, &Kind)> {
        let zones = self.tables.iter().flat_map(|table| &table.rates);
        zones.flat_map(|rates| rates.iter().copied().zip(&self.kinds))
    }

    /// Work asked for a second, all zones and kinds.
    pub fn work_asked(&self) -> f64 {
        self.asked().map(|(rate, kind)| rate * kind.work_s).sum()
    }

    pub fn capacity(&self) -> f64 {
        self.hosts.iter().map(Host::capacity).sum()
    }
}

fn within(place: &str, value: f64, least: f64, most: f64) -> Result<(), ModelError> {
    match value {
        value if (least..=most).contains(&value) => Ok(()),
        value => Err(ModelError::Range(place.into(), value, least, most)),
    }
}

fn count(key: &str, count: usize, due: usize) -> Result<(), ModelError> {
    if count == due {
        Ok(())
    } else {
        Err(ModelError::Count(key.into(), count, due))
    }
}

fn place(key: &str, at: usize, of: usize) -> Result<(), ModelError> {
    if at < of {
        Ok(())
    } else {
        Err(ModelError::Place(key.into(), at, of))
    }
}
