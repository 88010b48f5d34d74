//! A fleet and what is asked of it. Work is counted in seconds of one core of speed 1.

use serde::Serialize;
use thiserror::Error;

/// Hosts and reqs a second that make sense; beyond these a figure is a mistake.
const HOSTS_MOST: usize = 20_000;
const RATE_MOST: f64 = 1e7;

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Host {
    pub name: String,
    /// Place of its zone.
    pub zone: usize,
    pub cores: f64,
    /// Work of one core a second; 1 is the yardstick.
    pub speed: f64,
    /// The part of its work that it can do now: under 1 while it is cold.
    pub warm: f64,
}

impl Host {
    /// Work it can do a second, now.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed * self.warm
    }
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Kind {
    pub name: String,
    /// Seconds of a core of speed 1, each req.
    pub work_s: f64,
    pub response_target_s: f64,
    pub benefit: f64,
}

/// Reqs a second of each kind, by the zone they come from: `rates[zone][kind]`.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Demand {
    pub rates: Vec<Vec<f64>>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fleet {
    pub zones: Vec<String>,
    pub kinds: Vec<Kind>,
    pub hosts: Vec<Host>,
    pub demand: Demand,
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
    #[error("{0} hosts; {HOSTS_MOST} at most")]
    TooMany(usize),
}

impl Fleet {
    /// Errors: the first figure that is negative, huge or no number, or lists that do not fit each other.
    pub fn check(&self) -> Result<(), ModelError> {
        let within = |place: String, value: f64, least: f64, most: f64| match value {
            value if (least..=most).contains(&value) => Ok(()),
            value => Err(ModelError::Range(place, value, least, most)),
        };
        if self.hosts.len() > HOSTS_MOST {
            return Err(ModelError::TooMany(self.hosts.len()));
        }
        within("crossing".into(), self.crossing, 0.0, 1.0)?;
        for kind in &self.kinds {
            within(format!("kind {}: work", kind.name), kind.work_s, 1e-6, 3_600.0)?;
            within(format!("kind {}: response target", kind.name), kind.response_target_s, 1e-6, 3_600.0)?;
            within(format!("kind {}: benefit", kind.name), kind.benefit, 0.0, 1e9)?;
        }
        for host in &self.hosts {
            within(format!("host {}: cores", host.name), host.cores, 1e-3, 4_096.0)?;
            within(format!("host {}: speed", host.name), host.speed, 1e-3, 1e3)?;
            within(format!("host {}: warm", host.name), host.warm, 1e-3, 1.0)?;
            if host.zone >= self.zones.len() {
                return Err(ModelError::Count(
                    format!("host {}: zone", host.name),
                    host.zone,
                    self.zones.len(),
                ));
            }
        }
        if self.demand.rates.len() != self.zones.len() {
            return Err(ModelError::Count("demand: zones".into(), self.demand.rates.len(), self.zones.len()));
        }
        for (zone, rates) in self.zones.iter().zip(&self.demand.rates) {
            if rates.len() != self.kinds.len() {
                return Err(ModelError::Count(
                    format!("demand of {zone}: kinds"),
                    rates.len(),
                    self.kinds.len(),
                ));
            }
            for (kind, rate) in self.kinds.iter().zip(rates) {
                within(format!("demand of {zone}: {}", kind.name), *rate, 0.0, RATE_MOST)?;
            }
        }
        Ok(())
    }

    /// Work asked for a second, all zones and kinds.
    pub fn work_asked(&self) -> f64 {
        let of = |rates: &Vec<f64>| {
            rates.iter().zip(&self.kinds).map(|(rate, kind)| rate * kind.work_s).sum::<f64>()
        };
        self.demand.rates.iter().map(of).sum()
    }

    pub fn capacity(&self) -> f64 {
        self.hosts.iter().map(Host::capacity).sum()
    }
}
