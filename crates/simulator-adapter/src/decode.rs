//! From the wire's lines to the module's data.

use pondarch_controller::{
    AttemptOutcomes, CellId, Endpoint, EndpointState, HostId, HostLoad, Time,
};
use pondarch_deployment::{DeploymentNames, record_load_value};
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

/// One line, read part by part.
pub(crate) struct Row<'a> {
    name: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Row<'a> {
    pub(crate) fn new(line: &'a str) -> Row<'a> {
        match line.split_once('\t') {
            Some((name, rest)) => Row {
                name,
                rest: Some(rest),
            },
            None => Row {
                name: line,
                rest: None,
            },
        }
    }

    pub(crate) fn name(&self) -> &'a str {
        self.name
    }

    fn wrong(&self, what: &str, why: &str) -> String {
        format!("{}: {what}: {why}", self.name)
    }

    pub(crate) fn text(&mut self, what: &str) -> Result<&'a str, String> {
        let rest = self.rest.ok_or_else(|| self.wrong(what, "missing"))?;
        let (part, rest) = match rest.split_once('\t') {
            Some((part, rest)) => (part, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if part.is_empty() {
            Err(self.wrong(what, "empty"))
        } else {
            Ok(part)
        }
    }

    pub(crate) fn rest(&mut self, what: &str) -> Result<&'a str, String> {
        self.rest.take().ok_or_else(|| self.wrong(what, "missing"))
    }

    /// Nothing may follow the last value.
    pub(crate) fn end(&self) -> Result<(), String> {
        match self.rest {
            Some(more) => Err(self.wrong("end of line", &format!("more than expected: '{more}'"))),
            None => Ok(()),
        }
    }

    fn parse<T: FromStr>(&mut self, what: &str, kind: &str) -> Result<T, String> {
        let part = self.text(what)?;
        part.parse()
            .map_err(|_| self.wrong(what, &format!("'{part}' is not {kind}")))
    }

    pub(crate) fn whole(&mut self, what: &str) -> Result<u64, String> {
        self.parse(what, "a whole number")
    }

    pub(crate) fn small(&mut self, what: &str) -> Result<u16, String> {
        self.parse(what, "a whole number below 65536")
    }

    pub(crate) fn number(&mut self, what: &str) -> Result<Option<f64>, String> {
        let part = self.text(what)?;
        if part == "-" {
            return Ok(None);
        }
        let value = part.parse::<f64>().ok().filter(|v| v.is_finite());
        value
            .map(Some)
            .ok_or_else(|| self.wrong(what, &format!("'{part}' is not a number")))
    }

    pub(crate) fn count(&mut self, what: &str) -> Result<f64, String> {
        Ok(self.number(what)?.unwrap_or(0.0).max(0.0))
    }

    pub(crate) fn flag(&mut self, what: &str) -> Result<bool, String> {
        match self.text(what)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => Err(self.wrong(what, &format!("'{other}' is neither 0 nor 1"))),
        }
    }

    pub(crate) fn time(&mut self, what: &str) -> Result<Time, String> {
        self.whole(what).map(Time::from_micros)
    }

    pub(crate) fn span(&mut self, what: &str) -> Result<Duration, String> {
        Ok(Duration::from_micros(self.count(what)? as u64))
    }

    pub(crate) fn host(&mut self) -> Result<HostId, String> {
        Ok(HostId(self.text("host")?.into()))
    }

    pub(crate) fn met(&mut self, names: &DeploymentNames) -> Result<AttemptOutcomes, String> {
        let tries = self.count("many")?;
        let errored = self.count("errors")?;
        let mean_time = self.span("took")?;
        let over = self.span("elapsed")?;
        Ok(AttemptOutcomes {
            attempts: tries,
            failures: errored,
            mean_latency: mean_time,
            period: over,
            load: self.load(names)?,
        })
    }

    pub(crate) fn load(&mut self, names: &DeploymentNames) -> Result<Option<HostLoad>, String> {
        let part = self.text("report")?;
        if part == "-" {
            return Ok(None);
        }
        let mut load = HostLoad::default();
        for (value, field) in part.split(',').zip(names.report_fields()) {
            if value == "-" {
                continue;
            }
            let value = value.parse::<f64>().ok().filter(|v| v.is_finite());
            let value = value
                .ok_or_else(|| self.wrong("report", &format!("'{part}' is not a load report")))?;
            record_load_value(&mut load, field, value);
        }
        Ok(Some(load))
    }
}

struct Entry {
    started: Time,
    host: HostId,
    machine: String,
    cell: u64,
    weight: f64,
    zone: String,
    standing: EndpointState,
}

/// The numbered lists of the process, and the one being read.
#[derive(Default)]
pub(crate) struct Lists {
    held: BTreeMap<u64, Vec<Entry>>,
    reading: Option<(u64, u64)>,
}

impl Lists {
    pub(crate) fn open(&self) -> bool {
        self.reading.is_some()
    }

    pub(crate) fn begin(&mut self, mut row: Row) -> Result<(), String> {
        let list = row.whole("list")?;
        let members = row.whole("members")?;
        self.held.insert(list, Vec::new());
        self.reading = (members > 0).then_some((list, members));
        row.end()
    }

    pub(crate) fn entry(&mut self, mut row: Row) -> Result<(), String> {
        if row.name() != "M" {
            return Err(format!("{} where a list entry was due", row.name()));
        }
        let since = row.number("since")?.unwrap_or(0.0).max(0.0);
        let entry = Entry {
            started: Time::from_micros(since as u64),
            host: row.host()?,
            machine: row.text("type")?.to_string(),
            cell: row.number("bay")?.unwrap_or(0.0) as u64,
            weight: row.number("weight")?.unwrap_or(0.0),
            zone: row.text("dc")?.to_string(),
            standing: match row.text("health")? {
                "IN" => EndpointState::Ready,
                "LAME" => EndpointState::Draining,
                "OUT" => EndpointState::Removed,
                other => return Err(format!("M: health: unknown value '{other}'")),
            },
        };
        row.end()?;
        if let Some((list, left)) = self.reading {
            self.held.entry(list).or_default().push(entry);
            self.reading = (left > 1).then_some((list, left - 1));
        }
        Ok(())
    }

    pub(crate) fn listings(
        &self,
        list: u64,
        names: &mut DeploymentNames,
    ) -> Result<Vec<Endpoint>, String> {
        let entries = self
            .held
            .get(&list)
            .ok_or_else(|| format!("list {list} was never defined"))?;
        let listing = |entry: &Entry| Endpoint {
            host: entry.host.clone(),
            zone: names.zone(&entry.zone),
            machine_type: names.machine_type(&entry.machine),
            cell: CellId(entry.cell),
            weight: entry.weight,
            started: entry.started,
            state: entry.standing,
        };
        Ok(entries.iter().map(listing).collect())
    }
}
