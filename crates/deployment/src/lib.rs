//! From a deployment's settings object, as the bench and the platform both hand it over, to the job ticket and the
//! names that it gives numbers to. Times there are in microseconds.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(clippy::too_many_lines, missing_docs)]

use pondarch_controller::{
    AdmissionMode, DeploymentConfig, HostLoad, MachineTypeId, RequestClass, RetryPolicy, ZoneId,
};
use serde_json::Value;
use std::time::Duration;
use thiserror::Error;

/// The settings are no object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("not an object")]
pub struct NoObject;

/// When proxies try again, by the numbers that settings and orders give them.
const TRIES: [RetryPolicy; 4] = [
    RetryPolicy::Never,
    RetryPolicy::IfUnprocessed,
    RetryPolicy::OnceOnFailure,
    RetryPolicy::TwiceOnFailure,
];

pub fn number_of_tries(tries: RetryPolicy) -> usize {
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

    pub fn machine(&mut self, name: &str) -> MachineTypeId {
        MachineTypeId(number_of(&mut self.machines, name))
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
pub fn note_load(load: &mut HostLoad, name: &str, value: f64) {
    match name {
        "busy" | "util" => load.utilization = Some(value),
        "q" | "queue" => load.queue_length = Some(value),
        "lat_ms" | "latency_ms" => {
            load.service_time = Some(Duration::from_micros((value.max(0.0) * 1e3) as u64))
        }
        _ => {}
    }
}

/// Reads the settings. Unknown keys and values are passed over.
pub fn read(all: &Value) -> Result<(DeploymentConfig, Names), NoObject> {
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
    let ticket = DeploymentConfig {
        request_classes: kinds
            .iter()
            .enumerate()
            .map(|(k, kind)| kind_ticket(kind, own_zone(k)))
            .collect(),
        proxy_count: number(&family["proxies"]) as u64,
        partitioned: number(&family["partitionsN"]) > 0.0,
        zone_count: names.zones.len() as u16,
        base_retry_policy: family["baseMode"]
            .as_u64()
            .and_then(|number| TRIES.get(number as usize))
            .copied(),
        admission: match family["admission"].as_str() {
            Some("share") => AdmissionMode::Share,
            Some("rate") => AdmissionMode::Rate,
            _ => AdmissionMode::Off,
        },
        update_rate: number(&family["channelRate"]),
        max_queued_lines: number(&family["mostWaiting"]),
        message_overhead_lines: number(&family["perMessage"]),
        max_messages_per_window: number(&family["updateCap"]) as u64,
        message_window: span(&family["updateWindow"]),
        poll_endpoints: all["discovery"] == "on_request",
        poll_interval: span(&rules["askWithin"]),
        max_batch_size: 0,
        acks_supported: true,
        health_checks: limits["probes"].as_bool().unwrap_or(false),
        report_interval: span(&family["reportEvery"]),
        initial_capacity: number(&rules["startCapacity"]),
        slow_start_window: span(&rules["cold"]),
        cross_zone_cost: number(&all["prices"]["crossZone"]),
        drain_grace_period: span(&rules["stopSendingWithin"]),
        removal_is_advisory: rules["removalNotBinding"].as_bool().unwrap_or(false),
    };
    Ok((ticket, names))
}

fn kind_ticket(kind: &Value, own_zone: bool) -> RequestClass {
    RequestClass {
        latency_objective: span(&kind["aim"]),
        priority_weight: number(&kind["worth"]),
        zone_local: own_zone,
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

fn span(value: &Value) -> Duration {
    Duration::from_micros(number(value) as u64)
}
