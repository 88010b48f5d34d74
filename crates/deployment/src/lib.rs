//! From a deployment's settings object, as the bench and the platform both hand it over, to the job ticket and the
//! names that it gives numbers to. Times there are in microseconds.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, clippy::wildcard_imports, missing_docs)]

use pondarch_controller::types::*;
use serde_json::Value;
use thiserror::Error;

/// The settings are no object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not an object")]
pub struct NoObject;

/// When proxies try again, by the numbers that settings and orders give them.
const TRIES: [Tries; 4] = [
    Tries::Once,
    Tries::AgainIfNeverRun,
    Tries::AgainOnFailure,
    Tries::TwiceOnFailure,
];

pub fn number_of_tries(tries: Tries) -> usize {
    TRIES
        .iter()
        .position(|known| *known == tries)
        .expect("all are listed")
}

/// Names that one steward's settings gave numbers to.
#[derive(Debug, Default)]
pub struct Names {
    zones: Vec<String>,
    machines: Vec<String>,
    kinds: Vec<String>,
    report_fields: Vec<String>,
}

impl Names {
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(number_of(&mut self.zones, name))
    }

    pub fn machine(&mut self, name: &str) -> MachineId {
        MachineId(number_of(&mut self.machines, name))
    }

    /// The number of a zone that the settings or a list named; none for any other.
    pub fn known_zone(&self, name: &str) -> Option<ZoneId> {
        self.zones
            .iter()
            .position(|zone| zone == name)
            .map(|place| ZoneId(place as u16))
    }

    /// What the values of a load report are called, in their order.
    pub fn report_fields(&self) -> &[String] {
        &self.report_fields
    }

    /// The names of request kinds, by their numbers.
    pub fn kinds(&self) -> &[String] {
        &self.kinds
    }

    pub fn kind(&self, name: &str) -> Option<u8> {
        self.kinds
            .iter()
            .position(|kind| kind == name)
            .map(|place| place as u8)
    }
}

/// Past so many, names share the last number: lists that invent names must not grow this for ever.
const NAMES_MOST: usize = 4_096;

fn number_of(names: &mut Vec<String>, name: &str) -> u16 {
    let place = names
        .iter()
        .position(|held| held == name)
        .unwrap_or_else(|| {
            if names.len() < NAMES_MOST {
                names.push(name.to_string());
            }
            names.len() - 1
        });
    place as u16
}

/// Notes one value of a load report. The bench and the platform each have their own names for the same values.
pub fn note_load(load: &mut Load, name: &str, value: f64) {
    match name {
        "busy" | "util" => load.busy = Some(value),
        "q" | "queue" => load.queue = Some(value),
        "lat_ms" | "latency_ms" => {
            load.service = Some(Span::from_micros((value.max(0.0) * 1e3) as u64))
        }
        _ => {}
    }
}

/// Reads the settings. Unknown keys and values are passed over.
pub fn read(all: &Value) -> Result<(JobTicket, Names), NoObject> {
    if !all.is_object() {
        return Err(NoObject);
    }
    let (family, rules, limits, report) = (
        &all["familyInfo"],
        &all["obligations"],
        &all["limits"],
        &all["report"],
    );
    let names = Names {
        zones: strings(&all["localities"]),
        machines: strings(&all["machineTypes"]),
        kinds: all["classes"]
            .as_array()
            .map(|kinds| {
                kinds
                    .iter()
                    .map(|k| k["name"].as_str().unwrap_or("").to_string())
                    .collect()
            })
            .unwrap_or_default(),
        report_fields: if report["source"] == "off" {
            Vec::new()
        } else {
            strings(&report["fields"])
        },
    };
    let kinds = all["classes"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default();
    let own_zone = |k: usize| family["classOwnZone"][k].as_bool().unwrap_or(false);
    let ticket = JobTicket {
        kinds: kinds
            .iter()
            .enumerate()
            .map(|(k, kind)| kind_ticket(kind, own_zone(k)))
            .collect(),
        proxies: number(&family["proxies"]) as u64,
        sliced: number(&family["partitionsN"]) > 0.0,
        zones: names.zones.len() as u16,
        base_tries: family["baseMode"]
            .as_u64()
            .and_then(|number| TRIES.get(number as usize))
            .copied(),
        admission: match family["admission"].as_str() {
            Some("share") => Admission::Share,
            Some("rate") => Admission::Rate,
            _ => Admission::Off,
        },
        channel_rate: number(&family["channelRate"]),
        most_waiting: number(&family["mostWaiting"]),
        lines_per_message: number(&family["perMessage"]),
        message_cap: number(&family["updateCap"]) as u64,
        message_window: span(&family["updateWindow"]),
        must_ask: all["discovery"] == "on_request",
        ask_within: span(&rules["askWithin"]),
        orders_together: 0,
        marks: true,
        probes: limits["probes"].as_bool().unwrap_or(false),
        report_every: span(&family["reportEvery"]),
        start_capacity: number(&rules["startCapacity"]),
        cold: span(&rules["cold"]),
        crossing_price: number(&all["prices"]["crossZone"]),
        drain_grace: span(&rules["stopSendingWithin"]),
        gone_is_no_drain: rules["removalNotBinding"].as_bool().unwrap_or(false),
    };
    Ok((ticket, names))
}

fn kind_ticket(kind: &Value, own_zone: bool) -> KindTicket {
    KindTicket {
        response_target: span(&kind["aim"]),
        benefit: number(&kind["worth"]),
        own_zone,
    }
}

fn strings(list: &Value) -> Vec<String> {
    let texts = |list: &Vec<Value>| {
        list.iter()
            .map(|v| v.as_str().unwrap_or("").to_string())
            .collect()
    };
    list.as_array().map(texts).unwrap_or_default()
}

fn number(value: &Value) -> f64 {
    value
        .as_f64()
        .filter(|v| v.is_finite() && *v > 0.0)
        .unwrap_or(0.0)
}

fn span(value: &Value) -> Span {
    Span::from_micros(number(value) as u64)
}
