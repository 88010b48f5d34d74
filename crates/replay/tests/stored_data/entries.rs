//! Encoded records and snapshots: each variant is decoded to the same value as before, and encoded to the same bytes.

use crate::{read_fixture, to_stored_json};
use pondarch_replay::{Decision, Record, Snapshot};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// One line of the fixture: `record` or `snapshot`, the value as JSON, and the encoded bytes.
struct Entry {
    entry_type: String,
    value: Value,
    bytes: Vec<u8>,
}

fn read_entries() -> Vec<Entry> {
    let parse_line = |line: &str| {
        let [entry_type, value, bytes] = line.split('\t').collect::<Vec<_>>()[..] else {
            panic!("malformed line: {line}")
        };
        let value = serde_json::from_str(value).expect("JSON");
        let parse_byte = |pair: &[u8]| {
            let digits = std::str::from_utf8(pair).expect("ASCII");
            u8::from_str_radix(digits, 16).expect("hexadecimal digits")
        };
        Entry {
            entry_type: entry_type.into(),
            value,
            bytes: bytes.as_bytes().chunks(2).map(parse_byte).collect(),
        }
    };
    read_fixture("encoded-entries.txt")
        .lines()
        .map(parse_line)
        .collect()
}

#[test]
fn every_entry_is_decoded_to_its_value_and_encoded_to_the_same_bytes() {
    let mut mismatches = Vec::new();
    for Entry {
        entry_type,
        value,
        bytes,
    } in read_entries()
    {
        let decoded =
            match entry_type.as_str() {
                "record" => Record::from_bytes(&bytes)
                    .map(|entry| (to_stored_json(&entry), entry.to_bytes())),
                "snapshot" => Snapshot::from_bytes(&bytes)
                    .map(|entry| (to_stored_json(&entry), entry.to_bytes())),
                _ => panic!("unknown entry type: {entry_type}"),
            };
        match decoded {
            None => mismatches.push(format!("cannot be decoded: {value}")),
            Some((decoded_value, _)) if decoded_value != value => {
                mismatches.push(format!("expected {value}\ndecoded  {decoded_value}"))
            }
            Some((_, encoded)) if encoded != bytes => {
                mismatches.push(format!("encoded to different bytes: {value}"))
            }
            Some(_) => {}
        }
    }
    assert!(
        mismatches.is_empty(),
        "{} entries:\n{}",
        mismatches.len(),
        mismatches.join("\n")
    );
}

/// Decoding without the types of the program gives the same value, because the bytes contain the names.
#[test]
fn encoded_entries_contain_the_names_of_fields_and_variants() {
    for Entry { value, bytes, .. } in read_entries() {
        let untyped: Value = rmp_serde::from_slice(&bytes).expect("MessagePack");
        assert_eq!(with_addresses_as_text(untyped), value);
    }
}

/// Converts socket addresses to strings, as in JSON; the encoded form has the IP version, the octets and the port.
fn with_addresses_as_text(value: Value) -> Value {
    match value {
        Value::Object(fields) if fields.contains_key("V4") || fields.contains_key("V6") => {
            let (_, address) = fields.into_iter().next().expect("one field");
            let (octets, port): (Vec<u8>, u16) =
                serde_json::from_value(address).expect("an address");
            let ip: IpAddr = match <[u8; 4]>::try_from(octets.as_slice()) {
                Ok(octets) => octets.into(),
                Err(_) => <[u8; 16]>::try_from(octets.as_slice())
                    .expect("an address")
                    .into(),
            };
            SocketAddr::new(ip, port).to_string().into()
        }
        Value::Object(fields) => fields
            .into_iter()
            .map(|(key, value)| (key, with_addresses_as_text(value)))
            .collect(),
        Value::Array(values) => values.into_iter().map(with_addresses_as_text).collect(),
        other => other,
    }
}

/// Returns the variant names that are accepted where `value` has the name `other`, taken from the error message.
fn accepted_names<T: DeserializeOwned>(value: Value) -> BTreeSet<String> {
    let error = serde_json::from_value::<T>(value)
        .map(drop)
        .expect_err("an unknown variant name")
        .to_string();
    assert!(
        error.starts_with("unknown variant `other`, expected"),
        "{error}"
    );
    error
        .split('`')
        .skip(3)
        .step_by(2)
        .map(str::to_string)
        .collect()
}

/// Returns the name of an enum variant and its content.
fn variant_of(value: &Value) -> (String, Value) {
    match value {
        Value::Object(fields) if fields.len() == 1 => fields
            .iter()
            .next()
            .map(|(name, inner)| (name.clone(), inner.clone()))
            .expect("one field"),
        name => (name.as_str().expect("a variant").into(), Value::Null),
    }
}

fn to_set(names: impl IntoIterator<Item = String>) -> BTreeSet<String> {
    names.into_iter().collect()
}

/// Returns the names of all variants in `values`, and the contents of those called `name`.
fn variants(values: &[Value], name: &str) -> (BTreeSet<String>, Vec<Value>) {
    let all: Vec<(String, Value)> = values.iter().map(variant_of).collect();
    let contents = all
        .iter()
        .filter(|(variant, _)| variant == name)
        .map(|(_, inner)| inner.clone())
        .collect();
    (to_set(all.into_iter().map(|(name, _)| name)), contents)
}

/// Returns the field `key` of each value.
fn fields(values: &[Value], key: &str) -> Vec<Value> {
    values.iter().map(|value| value[key].clone()).collect()
}

/// The fixture has exactly the variants that the program can decode.
#[test]
fn the_fixture_has_every_variant_that_can_be_decoded() {
    let records: Vec<Value> = read_entries()
        .into_iter()
        .filter(|entry| entry.entry_type == "record")
        .map(|entry| entry.value)
        .collect();
    let (fixture_names, inputs) = variants(&records, "Input");
    assert_eq!(fixture_names, accepted_names::<Record>(json!("other")));
    let inputs = fields(&inputs, "input");
    let (fixture_names, secondaries) = variants(&inputs, "Secondary");
    let input = |input: Value| json!({"Input": {"n": 1, "at_us": 1, "input": input}});
    assert_eq!(
        fixture_names,
        accepted_names::<Record>(input(json!("other")))
    );
    let (fixture_names, _) = variants(&fields(&secondaries, "heard"), "Asks");
    assert_eq!(
        fixture_names,
        accepted_names::<Record>(input(json!({"Secondary": {"n": 1, "heard": "other"}})))
    );
    let (_, senders) = variants(&inputs, "SenderCame");
    let sender = json!({"SenderCame": {"conn": 1, "name": "front-1", "is": "other", "run": 1}});
    assert_eq!(
        variants(&fields(&senders, "is"), "Proxy").0,
        accepted_names::<Record>(input(sender))
    );
    let (_, recovered) = variants(&inputs, "Recovered");
    let hosts: Vec<Value> = recovered[0]["list"]["hosts"]
        .as_array()
        .expect("hosts")
        .clone();
    let file_hosts = recovered[0]["list"]["file"]
        .as_array()
        .expect("hosts")
        .clone();
    let states = fields(&hosts, "standing")
        .into_iter()
        .chain(fields(&file_hosts, "state"));
    let states = to_set(states.map(|state| variant_of(&state).0));
    let mut list = json!({"version": 1, "hosts": [file_hosts[0]]});
    list["hosts"][0]["state"] = "other".into();
    assert_eq!(
        states,
        accepted_names::<Record>(input(json!({"List": list})))
    );
    let (_, decided) = variants(&records, "Decided");
    let decisions: Vec<Value> = decided
        .iter()
        .flat_map(|decided| decided["decisions"].as_array().expect("decisions").clone())
        .collect();
    let (fixture_names, outputs) = variants(&decisions, "Output");
    assert_eq!(fixture_names, accepted_names::<Decision>(json!("other")));
    let (fixture_names, events) = variants(&outputs, "Event");
    assert_eq!(
        fixture_names,
        accepted_names::<Decision>(json!({"Output": "other"}))
    );
    assert_eq!(
        variants(&events, "Left").0,
        accepted_names::<Decision>(json!({"Output": {"Event": "other"}}))
    );
}

/// Records of even older programs lack some fields, which get default values.
#[test]
fn fields_that_older_programs_did_not_write_get_defaults() {
    let added_fields = [
        ("serial", json!(0), "/Input/input/Recovered"),
        ("rate", json!(null), "/Input/input/Probed/load"),
        ("errored_rate", json!(null), "/Input/input/Probed/load"),
        ("rack", json!(""), "/Input/input/List/hosts/0"),
        ("machine", json!(""), "/Input/input/List/hosts/0"),
        ("weight", json!(1.0), "/Input/input/List/hosts/0"),
        ("started", json!(null), "/Input/input/List/hosts/0"),
        ("state", json!("ready"), "/Input/input/List/hosts/0"),
        ("word_us", json!(0), "/Input/input/Pushed/report"),
        ("had_us", json!(0), "/Input/input/Pushed/report"),
        (
            "server",
            json!(null),
            "/Input/input/Pushed/report/body/counted/0",
        ),
        (
            "done_us",
            json!(0),
            "/Input/input/Pushed/report/body/counted/0",
        ),
        (
            "service_ms",
            json!(null),
            "/Input/input/Pushed/report/body/own",
        ),
    ];
    for (key, default, pointer) in added_fields {
        let has_object = |value: &Value| value.pointer(pointer).is_some_and(Value::is_object);
        let mut value = read_entries()
            .into_iter()
            .map(|entry| entry.value)
            .find(has_object)
            .expect(pointer);
        let mut older_value = value.clone();
        older_value
            .pointer_mut(pointer)
            .and_then(Value::as_object_mut)
            .and_then(|fields| fields.remove(key))
            .expect(key);
        value.pointer_mut(pointer).expect(pointer)[key] = default;
        assert_eq!(
            to_stored_json(&serde_json::from_value::<Record>(older_value).expect(key)),
            value,
            "{key}"
        );
    }
}
