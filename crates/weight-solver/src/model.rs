//! The model that is solved: a fleet of hosts and its demand. Work is measured in seconds of one core of speed 1.

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Plausible numbers of hosts and tables, and requests a second; larger values are rejected as mistakes.
const MAX_HOSTS: usize = 20_000;
const MAX_TABLES: usize = 2_000;
const MAX_REQUEST_RATE: f64 = 1e7;
/// Time in which a measurement of other work loses half its weight.
const OTHER_WORK_HALF_LIFE_S: f64 = 10.0;
/// Largest part of a host's capacity that is assumed to go to other work: no higher share is certain enough.
const MAX_OTHER_WORK_SHARE: f64 = 0.9;

/// A host that can be given work.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host.
    pub name: String,
    /// Index of its zone.
    pub zone: usize,
    /// Number of cores.
    pub cores: f64,
    /// Work of one core a second, relative to the reference speed of 1.
    pub speed: f64,
    /// How many requests it works on concurrently at most; none: as many as it has cores.
    #[serde(rename = "connections")]
    pub max_concurrent_requests: Option<f64>,
    /// Part of its capacity that it has now: under 1 while it is warming up.
    #[serde(rename = "warm")]
    pub warm_fraction: f64,
    /// Work a second that it does outside the demand of this fleet.
    #[serde(rename = "taken")]
    pub other_work: f64,
    /// Age of the measurement of other work, in seconds.
    #[serde(rename = "taken_age_s")]
    pub other_work_age_s: f64,
}

impl Host {
    /// Work that it can do a second now.
    pub fn capacity(&self) -> f64 {
        self.max_concurrent_requests
            .map_or(self.cores, |max| max.min(self.cores))
            * self.speed
            * self.warm_fraction
    }

    /// Other work a second, discounted by the age of its measurement.
    pub fn current_other_work(&self) -> f64 {
        (self.other_work * 0.5f64.powf(self.other_work_age_s / OTHER_WORK_HALF_LIFE_S))
            .min(MAX_OTHER_WORK_SHARE * self.capacity())
    }
}

/// A request class.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestClass {
    /// Name of the class.
    pub name: String,
    /// Work of one request, in seconds of a core of speed 1.
    pub work_s: f64,
    /// Latency objective, in seconds.
    #[serde(rename = "response_target_s")]
    pub latency_objective_s: f64,
    /// Benefit of one request that is admitted, in any unit.
    pub benefit: f64,
}

/// Some hosts, and the requests a second that go to them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Table {
    /// Name of the table.
    pub name: String,
    /// Indices of its hosts; none: all hosts of the fleet.
    pub hosts: Option<Vec<usize>>,
    /// Requests a second, as `rates[zone][class]`.
    pub rates: Vec<Vec<f64>>,
}

impl Table {
    /// A table of all hosts.
    pub fn of_all_hosts(rates: Vec<Vec<f64>>) -> Table {
        Table {
            name: "all".into(),
            hosts: None,
            rates,
        }
    }
}

/// A fleet and its demand.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// The request classes.
    #[serde(rename = "kinds")]
    pub classes: Vec<RequestClass>,
    /// The hosts.
    pub hosts: Vec<Host>,
    /// The tables, with their demand.
    pub tables: Vec<Table>,
    /// Cost of work that crosses zones, as a part of the mean benefit of a request.
    #[serde(rename = "crossing")]
    pub crossing_price: f64,
}

/// An invalid value of the model, and where it is.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ModelError {
    /// A value, its minimum and its maximum.
    #[error("{0}: {1} is not within {2} and {3}")]
    Range(String, f64, f64, f64),
    /// The length of a list, and the expected length.
    #[error("{0}: {1} where {2} are due")]
    Count(String, usize, usize),
    /// An index, and the length of the list that it points into.
    #[error("{0}: place {1} of {2}")]
    Index(String, usize, usize),
    /// A number of things, what they are, and the limit.
    #[error("{0} {1}; {2} at most")]
    TooMany(usize, &'static str, usize),
}

impl Fleet {
    /// Checks all values.
    ///
    /// # Errors
    ///
    /// The first value that is out of range or not a number, or the first list whose length does not match the others.
    pub fn validate(&self) -> Result<(), ModelError> {
        if self.hosts.len() > MAX_HOSTS {
            return Err(ModelError::TooMany(self.hosts.len(), "hosts", MAX_HOSTS));
        }
        if self.tables.len() > MAX_TABLES {
            return Err(ModelError::TooMany(self.tables.len(), "tables", MAX_TABLES));
        }
        check_range("crossing", self.crossing_price, 0.0, 1.0)?;
        for class in &self.classes {
            let key = |value: &str| format!("kind {}: {value}", class.name);
            check_range(&key("work"), class.work_s, 1e-6, 3_600.0)?;
            check_range(
                &key("response target"),
                class.latency_objective_s,
                1e-6,
                3_600.0,
            )?;
            check_range(&key("benefit"), class.benefit, 0.0, 1e9)?;
        }
        for host in &self.hosts {
            let key = |value: &str| format!("host {}: {value}", host.name);
            check_range(&key("cores"), host.cores, 1e-3, 4_096.0)?;
            check_range(&key("speed"), host.speed, 1e-3, 1e3)?;
            check_range(
                &key("connections"),
                host.max_concurrent_requests.unwrap_or(1.0),
                1e-3,
                1e6,
            )?;
            check_range(&key("warm"), host.warm_fraction, 1e-3, 1.0)?;
            check_range(&key("taken"), host.other_work, 0.0, 1e7)?;
            check_range(&key("age of taken"), host.other_work_age_s, 0.0, 1e9)?;
            check_index(&key("zone"), host.zone, self.zones.len())?;
        }
        self.tables
            .iter()
            .try_for_each(|table| self.validate_table(table))
    }

    fn validate_table(&self, table: &Table) -> Result<(), ModelError> {
        let key = |part: &str| format!("table {}: demand{part}", table.name);
        for host in table.hosts.iter().flatten() {
            check_index(
                &format!("table {}: hosts", table.name),
                *host,
                self.hosts.len(),
            )?;
        }
        check_count(&key(": zones"), table.rates.len(), self.zones.len())?;
        for (zone, rates) in self.zones.iter().zip(&table.rates) {
            check_count(
                &key(&format!(" of {zone}: kinds")),
                rates.len(),
                self.classes.len(),
            )?;
            for (class, rate) in self.classes.iter().zip(rates) {
                check_range(
                    &key(&format!(" of {zone}: {}", class.name)),
                    *rate,
                    0.0,
                    MAX_REQUEST_RATE,
                )?;
            }
        }
        Ok(())
    }

    /// Indices of a table's hosts.
    pub fn hosts_of_table<'a>(
        &'a self,
        table: &'a Table,
    ) -> impl Iterator<Item = usize> + Clone + 'a {
        let listed = table.hosts.iter().flatten().copied();
        listed.chain(
            0..if table.hosts.is_none() {
                self.hosts.len()
            } else {
                0
            },
        )
    }

    /// Each demand: requests a second, and their class.
    pub fn demands(&self) -> impl Iterator<Item = (f64, &RequestClass)> {
        let rates_by_zone = self.tables.iter().flat_map(|table| &table.rates);
        rates_by_zone.flat_map(|rates| rates.iter().copied().zip(&self.classes))
    }

    /// Demanded work a second, of all zones and classes.
    pub fn demanded_work(&self) -> f64 {
        self.demands()
            .map(|(rate, class)| rate * class.work_s)
            .sum()
    }

    /// Work that all hosts can do a second now.
    pub fn capacity(&self) -> f64 {
        self.hosts.iter().map(Host::capacity).sum()
    }
}

fn check_range(key: &str, value: f64, min: f64, max: f64) -> Result<(), ModelError> {
    match value {
        value if (min..=max).contains(&value) => Ok(()),
        value => Err(ModelError::Range(key.into(), value, min, max)),
    }
}

fn check_count(key: &str, actual: usize, expected: usize) -> Result<(), ModelError> {
    if actual == expected {
        Ok(())
    } else {
        Err(ModelError::Count(key.into(), actual, expected))
    }
}

fn check_index(key: &str, index: usize, len: usize) -> Result<(), ModelError> {
    if index < len {
        Ok(())
    } else {
        Err(ModelError::Index(key.into(), index, len))
    }
}
