//! Parsing of a deployment's settings object. Unknown keys are ignored; missing values and values of the wrong type get
//! defaults.

use crate::{DeploymentNames, RETRY_POLICIES};
use pondarch_controller::{AdmissionMode, DeploymentConfig, RequestClass};
use serde_json::Value;
use std::time::Duration;
use thiserror::Error;

/// An error in a settings object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The settings are not a JSON object.
    #[error("not an object")]
    NotAnObject,
}

/// Reads a settings object. Unknown keys and invalid values are ignored.
pub fn read(settings: &Value) -> Result<(DeploymentConfig, DeploymentNames), SettingsError> {
    if !settings.is_object() {
        return Err(SettingsError::NotAnObject);
    }
    let names = read_names(settings);
    let zone_count = names.zones.len() as u16;
    Ok((read_config(settings, zone_count), names))
}

fn read_names(settings: &Value) -> DeploymentNames {
    let report = &settings["report"];
    DeploymentNames {
        zones: strings(&settings["localities"]),
        machine_types: strings(&settings["machineTypes"]),
        request_classes: class_settings(settings)
            .iter()
            .map(|class| text(&class["name"]))
            .collect(),
        report_fields: if report["source"] == "off" {
            Vec::new()
        } else {
            strings(&report["fields"])
        },
    }
}

fn read_config(settings: &Value, zone_count: u16) -> DeploymentConfig {
    let family = &settings["familyInfo"];
    let obligations = &settings["obligations"];
    DeploymentConfig {
        request_classes: read_request_classes(settings),
        proxy_count: number(&family["proxies"]) as u64,
        partitioned: number(&family["partitionsN"]) > 0.0,
        zone_count,
        base_retry_policy: family["baseMode"]
            .as_u64()
            .and_then(|number| RETRY_POLICIES.get(number as usize))
            .copied(),
        admission: admission_mode(&family["admission"]),
        update_rate: number(&family["channelRate"]),
        max_queued_lines: number(&family["mostWaiting"]),
        message_overhead_lines: number(&family["perMessage"]),
        max_messages_per_window: number(&family["updateCap"]) as u64,
        message_window: duration(&family["updateWindow"]),
        poll_endpoints: settings["discovery"] == "on_request",
        poll_interval: duration(&obligations["askWithin"]),
        max_batch_size: 0,
        acks_supported: true,
        health_checks: flag(&settings["limits"]["probes"]),
        report_interval: duration(&family["reportEvery"]),
        initial_capacity: number(&obligations["startCapacity"]),
        slow_start_window: duration(&obligations["cold"]),
        cross_zone_cost: number(&settings["prices"]["crossZone"]),
        drain_grace_period: duration(&obligations["stopSendingWithin"]),
        overload_multiple: number(&obligations["fallMultiple"]),
        overload_span: duration(&obligations["fall"]),
        removal_is_advisory: flag(&obligations["removalNotBinding"]),
    }
}

fn read_request_classes(settings: &Value) -> Vec<RequestClass> {
    let zone_local = &settings["familyInfo"]["classOwnZone"];
    class_settings(settings)
        .iter()
        .enumerate()
        .map(|(position, class)| RequestClass {
            latency_objective: duration(&class["aim"]),
            priority_weight: number(&class["worth"]),
            zone_local: flag(&zone_local[position]),
        })
        .collect()
}

fn class_settings(settings: &Value) -> &[Value] {
    settings["classes"]
        .as_array()
        .map(Vec::as_slice)
        .unwrap_or_default()
}

fn admission_mode(value: &Value) -> AdmissionMode {
    match value.as_str() {
        Some("share") => AdmissionMode::Fraction,
        Some("rate") => AdmissionMode::Rate,
        _ => AdmissionMode::Off,
    }
}

fn strings(list: &Value) -> Vec<String> {
    let texts = |list: &Vec<Value>| list.iter().map(text).collect();
    list.as_array().map(texts).unwrap_or_default()
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or("").to_string()
}

fn flag(value: &Value) -> bool {
    value.as_bool().unwrap_or(false)
}

fn number(value: &Value) -> f64 {
    value
        .as_f64()
        .filter(|number| number.is_finite() && *number > 0.0)
        .unwrap_or(0.0)
}

fn duration(value: &Value) -> Duration {
    Duration::from_micros(number(value) as u64)
}
