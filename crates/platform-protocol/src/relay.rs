//! The relay: JSON-RPC 2.0, one object a line. Calls with update batches, their answers, and membership events.

use pondarch_controller::{AckId, Decision, ProxyId, RequestClassId};
use pondarch_deployment::retry_policy_number;
use serde::Serialize;
use serde_json::Value;

/// Bytes in one call.
pub const MAX_CALL_BYTES: usize = 60_000;
/// Bytes of a call around its updates.
const CALL_ENVELOPE_BYTES: usize = 128;
/// Longest line that the relay writes, in bytes.
pub const MAX_LINE_BYTES: usize = 64 * 1024;

/// One line that the relay wrote.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayMessage {
    /// Answer to a call: the relay applied its first updates.
    Applied {
        /// The number of the call.
        call: u64,
        /// How many updates were applied.
        updates: u64,
    },
    /// Answer to a call: none of it was applied.
    Rejected {
        /// The number of the call.
        call: u64,
        /// The relay's error object.
        reason: String,
    },
    /// Answer to the request for membership events: they follow.
    WatchStarted,
    /// A membership event.
    Event(MembershipEvent),
}

/// A change among the proxies, or a sign that the stream of such events is alive.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A proxy is connected.
    Joined {
        /// The proxy.
        proxy: ProxyId,
        /// The name of its zone.
        zone: String,
        /// Requests a second that it usually forwards.
        usual_request_rate: f64,
        /// Whether it holds no table and no quota yet.
        fresh: bool,
    },
    /// A proxy is no longer connected.
    Left(ProxyId),
    /// A proxy has applied the message that carried this request for an acknowledgement.
    Applied {
        /// The proxy.
        proxy: ProxyId,
        /// The acknowledgement that was requested.
        ack: AckId,
    },
    /// The stream is alive. The first ping also ends the list of connected proxies.
    Ping,
    /// An event that is not known here.
    Unknown,
}

/// An update as it stands on the wire.
#[derive(Serialize)]
#[serde(tag = "verb")]
enum WireUpdate<'a> {
    #[serde(rename = "share")]
    Weight {
        #[serde(rename = "cluster")]
        table: u16,
        #[serde(rename = "target")]
        host: &'a str,
        #[serde(rename = "rps")]
        weight: f64,
    },
    #[serde(rename = "bind")]
    Binding {
        #[serde(rename = "id")]
        proxy: u16,
        #[serde(rename = "cluster")]
        table: u16,
        #[serde(rename = "routes", skip_serializing_if = "Vec::is_empty")]
        classes: Vec<&'a str>,
    },
    #[serde(rename = "admit")]
    AdmissionRate {
        #[serde(rename = "cluster")]
        table: u16,
        #[serde(rename = "routes")]
        classes: Vec<&'a str>,
        #[serde(rename = "admit")]
        quota: f64,
        #[serde(rename = "policy")]
        retry_policy: usize,
    },
    #[serde(rename = "mark")]
    AckRequest {
        #[serde(rename = "nonce_out")]
        ack: u16,
        /// 1: all connected proxies acknowledge; 0: those that the call reaches.
        #[serde(rename = "flag")]
        all_proxies: u8,
    },
}

/// Writes a decision as an update for the relay; none if the decision doesn't concern the relay.
#[must_use]
pub fn encode_update(decision: &Decision, class_names: &[String]) -> Option<String> {
    let name = |class: &RequestClassId| class_names.get(class.0 as usize).map(String::as_str);
    let update = match decision {
        Decision::SetWeight {
            table,
            host,
            weight,
        } => WireUpdate::Weight {
            table: table.0,
            host: &host.0,
            weight: weight.unwrap_or(0.0),
        },
        Decision::BindProxy {
            proxy,
            table,
            classes,
        } => WireUpdate::Binding {
            proxy: proxy.0,
            table: table.0,
            classes: classes.iter().filter_map(name).collect(),
        },
        Decision::SetAdmissionRate {
            table,
            class,
            quota,
            retry_policy,
        } => WireUpdate::AdmissionRate {
            table: table.0,
            classes: name(class).into_iter().collect(),
            quota: *quota,
            retry_policy: retry_policy_number(*retry_policy),
        },
        Decision::RequestAck(ack) => WireUpdate::AckRequest {
            ack: ack.0,
            all_proxies: 0,
        },
        Decision::CheckHealth(_) | Decision::WatchEndpoints | Decision::SetTimer(_) => return None,
    };
    serde_json::to_string(&update).ok()
}

/// Whether one more update fits into a call whose updates take so many bytes already.
#[must_use]
pub fn fits_in_call(update_bytes: usize, update: &str) -> bool {
    update_bytes + update.len() + 1 + CALL_ENVELOPE_BYTES <= MAX_CALL_BYTES
}

/// The line of a call with these updates.
#[must_use]
pub fn encode_call(call: u64, updates: &[String]) -> String {
    let updates = updates.join(",");
    format!(
        "{{\"jsonrpc\":\"2.0\",\"id\":{call},\"method\":\"relay.apply\",\"params\":{{\"changes\":[{updates}]}}}}\n"
    )
}

/// The line that requests membership events.
#[must_use]
pub fn watch_request() -> &'static str {
    "{\"jsonrpc\":\"2.0\",\"id\":0,\"method\":\"relay.watch\"}\n"
}

/// Reads one line of the relay; none if it is malformed.
#[must_use]
pub fn parse(line: &str) -> Option<RelayMessage> {
    let line: Value = serde_json::from_str(line).ok()?;
    if let Some(method) = line["method"].as_str() {
        return parse_event(method, &line["params"]).map(RelayMessage::Event);
    }
    let call = line["id"].as_u64()?;
    if let Some(error) = line.get("error").filter(|error| !error.is_null()) {
        return Some(RelayMessage::Rejected {
            call,
            reason: error.to_string(),
        });
    }
    match &line["result"] {
        Value::Bool(true) => Some(RelayMessage::WatchStarted),
        result => Some(RelayMessage::Applied {
            call,
            updates: result["ok_count"].as_u64()?,
        }),
    }
}

fn parse_event(method: &str, params: &Value) -> Option<MembershipEvent> {
    let proxy = || Some(ProxyId(params["id"].as_u64()?.try_into().ok()?));
    match method {
        "joined" => Some(MembershipEvent::Joined {
            proxy: proxy()?,
            zone: params["site"].as_str()?.to_string(),
            usual_request_rate: params["rps"].as_f64().unwrap_or(0.0),
            fresh: parse_flag(&params["new"]),
        }),
        "left" => Some(MembershipEvent::Left(proxy()?)),
        "applied" => Some(MembershipEvent::Applied {
            proxy: proxy()?,
            ack: AckId(params["seq"].as_u64()?.try_into().ok()?),
        }),
        "ping" => Some(MembershipEvent::Ping),
        _ => Some(MembershipEvent::Unknown),
    }
}

/// A flag on the wire: a boolean or the number 1.
fn parse_flag(value: &Value) -> bool {
    value.as_bool().unwrap_or_else(|| value.as_u64() == Some(1))
}
