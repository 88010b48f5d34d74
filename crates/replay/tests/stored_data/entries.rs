//! Entries of records as bytes: each variant is read, means what it did, and is written as the same bytes.

use crate::{stored, text};
use pondarch_replay::{Decision, Record, Snapshot};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// One line of the fixture: which sort of entry, its value, and its bytes.
struct Entry {
    sort: String,
    value: Value,
    bytes: Vec<u8>,
}

fn entries() -> Vec<Entry> {
    let entry = |line: &str| {
        let [sort, value, bytes] = line.split('\t').collect::<Vec<_>>()[..] else {
            panic!("{line}")
        };
        let value = serde_json::from_str(value).expect("JSON");
        let byte = |pair: &[u8]| {
            let digits = std::str::from_utf8(pair).expect("digits");
            u8::from_str_radix(digits, 16).expect("digits")
        };
        Entry {
            sort: sort.into(),
            value,
            bytes: bytes.as_bytes().chunks(2).map(byte).collect(),
        }
    };
    text("encoded-entries.txt").lines().map(entry).collect()
}

#[test]
fn every_entry_is_read_as_it_was_meant_and_written_as_the_same_bytes() {
    let mut wrong = Vec::new();
    for Entry { sort, value, bytes } in entries() {
        let read = match sort.as_str() {
            "record" => Record::from_bytes(&bytes).map(|entry| (stored(&entry), entry.to_bytes())),
            "snapshot" => {
                Snapshot::from_bytes(&bytes).map(|entry| (stored(&entry), entry.to_bytes()))
            }
            _ => panic!("no sort of entry: {sort}"),
        };
        match read {
            None => wrong.push(format!("cannot be read: {value}")),
            Some((now, _)) if now != value => wrong.push(format!("was {value}\nis  {now}")),
            Some((_, now)) if now != bytes => {
                wrong.push(format!("written as other bytes: {value}"))
            }
            Some(_) => {}
        }
    }
    assert!(
        wrong.is_empty(),
        "{} entries:\n{}",
        wrong.len(),
        wrong.join("\n")
    );
}

/// The bytes alone, without any type of the program, say the same: the names stand in them.
#[test]
fn the_names_of_fields_and_variants_stand_in_the_bytes() {
    for Entry { value, bytes, .. } in entries() {
        let plain: Value = rmp_serde::from_slice(&bytes).expect("MessagePack");
        assert_eq!(with_addresses_as_text(plain), value);
    }
}

/// In bytes an address is its version, its numbers and its port; in JSON it is a text.
fn with_addresses_as_text(value: Value) -> Value {
    match value {
        Value::Object(fields) if fields.contains_key("V4") || fields.contains_key("V6") => {
            let (_, address) = fields.into_iter().next().expect("one");
            let (numbers, port): (Vec<u8>, u16) =
                serde_json::from_value(address).expect("an address");
            let ip: IpAddr = match <[u8; 4]>::try_from(numbers.as_slice()) {
                Ok(numbers) => numbers.into(),
                Err(_) => <[u8; 16]>::try_from(numbers.as_slice())
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

/// The names that can be read at this place, by the message about one that cannot.
fn names<T: DeserializeOwned>(value: Value) -> BTreeSet<String> {
    let wrong = serde_json::from_value::<T>(value)
        .map(drop)
        .expect_err("it has an unknown name")
        .to_string();
    assert!(
        wrong.starts_with("unknown variant `other`, expected"),
        "{wrong}"
    );
    wrong
        .split('`')
        .skip(3)
        .step_by(2)
        .map(str::to_string)
        .collect()
}

/// The name of a variant and what it holds.
fn variant(value: &Value) -> (String, Value) {
    match value {
        Value::Object(fields) if fields.len() == 1 => fields
            .iter()
            .next()
            .map(|(name, inner)| (name.clone(), inner.clone()))
            .expect("one"),
        name => (name.as_str().expect("a variant").into(), Value::Null),
    }
}

fn set(names: impl IntoIterator<Item = String>) -> BTreeSet<String> {
    names.into_iter().collect()
}

/// Variants of these values, and the values of those of this name.
fn variants(values: &[Value], name: &str) -> (BTreeSet<String>, Vec<Value>) {
    let all: Vec<(String, Value)> = values.iter().map(variant).collect();
    let inner = all
        .iter()
        .filter(|(of, _)| of == name)
        .map(|(_, inner)| inner.clone())
        .collect();
    (set(all.into_iter().map(|(name, _)| name)), inner)
}

fn parts(values: &[Value], key: &str) -> Vec<Value> {
    values.iter().map(|value| value[key].clone()).collect()
}

/// No variant can be read that the fixture lacks, and none of the fixture is gone.
#[test]
fn the_entries_hold_every_variant_that_can_be_read() {
    let records: Vec<Value> = entries()
        .into_iter()
        .filter(|entry| entry.sort == "record")
        .map(|entry| entry.value)
        .collect();
    let (seen, inputs) = variants(&records, "Input");
    assert_eq!(seen, names::<Record>(json!("other")));
    let inputs = parts(&inputs, "input");
    let (seen, secondaries) = variants(&inputs, "Secondary");
    let input = |input: Value| json!({"Input": {"n": 1, "at_us": 1, "input": input}});
    assert_eq!(seen, names::<Record>(input(json!("other"))));
    let (seen, _) = variants(&parts(&secondaries, "heard"), "Asks");
    assert_eq!(
        seen,
        names::<Record>(input(json!({"Secondary": {"n": 1, "heard": "other"}})))
    );
    let (_, senders) = variants(&inputs, "SenderCame");
    let sender = json!({"SenderCame": {"conn": 1, "name": "front-1", "is": "other", "run": 1}});
    assert_eq!(
        variants(&parts(&senders, "is"), "Proxy").0,
        names::<Record>(input(sender))
    );
    let (_, lists) = variants(&inputs, "Recovered");
    let hosts: Vec<Value> = lists[0]["list"]["hosts"].as_array().expect("hosts").clone();
    let file = lists[0]["list"]["file"].as_array().expect("hosts").clone();
    let states = parts(&hosts, "standing")
        .into_iter()
        .chain(parts(&file, "state"));
    let states = set(states.map(|state| variant(&state).0));
    let mut list = json!({"version": 1, "hosts": [file[0]]});
    list["hosts"][0]["state"] = "other".into();
    assert_eq!(states, names::<Record>(input(json!({"List": list}))));
    let (_, decided) = variants(&records, "Decided");
    let decisions: Vec<Value> = decided
        .iter()
        .flat_map(|decided| decided["decisions"].as_array().expect("some").clone())
        .collect();
    let (seen, outputs) = variants(&decisions, "Output");
    assert_eq!(seen, names::<Decision>(json!("other")));
    let (seen, events) = variants(&outputs, "Event");
    assert_eq!(seen, names::<Decision>(json!({"Output": "other"})));
    assert_eq!(
        variants(&events, "Left").0,
        names::<Decision>(json!({"Output": {"Event": "other"}}))
    );
}

/// Entries of programs that were older still lack some fields.
#[test]
fn fields_that_older_programs_did_not_write_are_filled_in() {
    let sets = [
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
    for (key, filled, place) in sets {
        let has = |value: &Value| value.pointer(place).is_some_and(Value::is_object);
        let mut value = entries()
            .into_iter()
            .map(|entry| entry.value)
            .find(has)
            .expect(place);
        let mut older = value.clone();
        older
            .pointer_mut(place)
            .and_then(Value::as_object_mut)
            .and_then(|fields| fields.remove(key))
            .expect(key);
        value.pointer_mut(place).expect(place)[key] = filled;
        assert_eq!(
            stored(&serde_json::from_value::<Record>(older).expect(key)),
            value,
            "{key}"
        );
    }
}
