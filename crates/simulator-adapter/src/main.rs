//! Lets the decision module play on the simulator's wire: decodes lines into calls, encodes rulings into lines.
//! It decides nothing and shares nothing between stewards.

// Not met yet: this package is listed in docs/ROADMAP.md under what is left to tidy.
#![allow(
    clippy::too_many_lines,
    clippy::wildcard_imports,
    elided_lifetimes_in_paths
)]

mod decode;
mod encode;

use decode::{Lists, Row};
use pondarch_controller::Controller;
use pondarch_controller::{AckId, ProxyId, RequestClassId, Time};
use pondarch_deployment::DeploymentNames;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::ExitCode;

struct Instance {
    steward: Controller,
    names: DeploymentNames,
}

#[derive(Default)]
struct Link {
    now: Time,
    batch: Option<String>,
    selected: Option<u64>,
    lists: Lists,
    instances: BTreeMap<u64, Instance>,
    touched: BTreeSet<u64>,
    failed: Option<(u64, String)>,
}

fn main() -> ExitCode {
    std::panic::set_hook(Box::new(|_| {}));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("pondarch-simulator-adapter: {wrong}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), String> {
    let mut link = Link::default();
    let mut out = BufWriter::new(io::stdout().lock());
    let mut input = io::stdin().lock();
    let mut bytes = Vec::new();
    let mut number = 0u64;
    loop {
        bytes.clear();
        let read = input
            .read_until(b'\n', &mut bytes)
            .map_err(|e| format!("input cannot be read: {e}"))?;
        if read == 0 {
            return match link.batch {
                Some(_) => Err(format!(
                    "line {number}: input ended in the middle of a batch"
                )),
                None => Ok(()),
            };
        }
        number += 1;
        let line =
            std::str::from_utf8(&bytes).map_err(|_| format!("line {number}: not UTF-8 text"))?;
        let line = line
            .strip_suffix('\n')
            .ok_or_else(|| format!("line {number}: cut off before its end"))?;
        if line.is_empty() {
            continue;
        }
        link.line(line, &mut out)
            .map_err(|wrong| format!("line {number}: {wrong}"))?;
    }
}

impl Link {
    fn line(&mut self, line: &str, out: &mut impl Write) -> Result<(), String> {
        let mut row = Row::new(line);
        if self.lists.open() {
            return self.lists.entry(row);
        }
        match row.name() {
            "CLOCK" if self.batch.is_some() => return Err("CLOCK before YOUR_TURN".into()),
            "CLOCK" => {
                self.now = row.time("clock")?;
                self.batch = Some(row.text("batch")?.to_string());
                self.selected = None;
                return row.end();
            }
            name if self.batch.is_none() => return Err(format!("{name} outside a batch")),
            "YOUR_TURN" => {
                row.end()?;
                return self
                    .reply(out)
                    .map_err(|e| format!("output cannot be written: {e}"));
            }
            "SELECT" => {
                self.selected = Some(row.whole("steward")?);
                return row.end();
            }
            "DEFINE_LIST" => return self.lists.begin(row),
            _ => {}
        }
        let id = self
            .selected
            .ok_or_else(|| format!("'{}' is unknown or comes before any SELECT", row.name()))?;
        match row.name() {
            "ATTACH" => {
                let seed = row.whole("rngSeed")?;
                let settings = serde_json::from_str(row.rest("settings")?);
                let settings = settings.map_err(|wrong| format!("ATTACH: settings: {wrong}"))?;
                let (ticket, names) = pondarch_deployment::read(&settings)
                    .map_err(|wrong| format!("ATTACH: settings: {wrong}"))?;
                self.touched.insert(id);
                self.failed = self.failed.take().filter(|(failed, _)| *failed != id);
                self.instances.insert(
                    id,
                    Instance {
                        steward: Controller::new(ticket, seed, self.now),
                        names,
                    },
                );
                Ok(())
            }
            "RETIRE" => {
                self.instances
                    .remove(&id)
                    .ok_or_else(|| format!("RETIRE for steward {id}, never attached"))?;
                self.touched.remove(&id);
                row.end()
            }
            name => {
                let name = name.to_string();
                let never = || format!("{name} for steward {id}, never attached");
                let instance = self.instances.get_mut(&id).ok_or_else(never)?;
                self.touched.insert(id);
                let (now, lists) = (self.now, &self.lists);
                match catch_unwind(AssertUnwindSafe(|| instance.event(now, lists, row))) {
                    Ok(done) => done,
                    Err(panic) => {
                        self.failed.get_or_insert((id, panic_text(panic)));
                        Ok(())
                    }
                }
            }
        }
    }

    fn reply(&mut self, out: &mut impl Write) -> io::Result<()> {
        let mut text = String::new();
        for id in std::mem::take(&mut self.touched) {
            let Some(instance) = self.instances.get_mut(&id) else {
                continue;
            };
            if self
                .failed
                .as_ref()
                .is_some_and(|(failed, _)| *failed == id)
            {
                continue;
            }
            let now = self.now;
            let before = text.len();
            let pulled = catch_unwind(AssertUnwindSafe(|| {
                while let Some(ruling) = instance.steward.next_decision(now) {
                    if text.len() == before {
                        text.push_str(&format!("ON_BEHALF\t{id}\n"));
                    }
                    encode::ruling(&ruling, &mut text);
                }
            }));
            if let Err(panic) = pulled {
                self.failed.get_or_insert((id, panic_text(panic)));
            }
        }
        if let Some((id, wrong)) = self.failed.take() {
            text = format!("ON_BEHALF\t{id}\nINTERNAL_ERROR\t{wrong}\n");
        }
        let batch = self.batch.take().unwrap_or_default();
        out.write_all(text.as_bytes())?;
        writeln!(out, "YIELD\t{batch}")?;
        out.flush()
    }
}

impl Instance {
    fn event(&mut self, now: Time, lists: &Lists, mut row: Row) -> Result<(), String> {
        let steward = &mut self.steward;
        match row.name() {
            "BACKENDS_CHANGED" => {
                let how = row.text("how")?;
                if how == "broken" {
                    steward.endpoint_list_failed(now);
                    return Ok(());
                }
                let version = row.whole("rev")?;
                let entries = lists.listings(row.whole("list")?, &mut self.names)?;
                match how {
                    "patch" => steward.apply_endpoint_list(now, version, false, entries),
                    "whole" | "stale_copy" => {
                        steward.apply_endpoint_list(now, version, true, entries)
                    }
                    other => return Err(format!("how: unknown value '{other}'")),
                }
            }
            "DEADLINE_HIT" => {
                row.text("mark")?;
                steward.on_timer(now);
            }
            "PROBE_DONE" => {
                let good = row.text("result")? == "GOOD";
                let host = row.host()?;
                row.span("took")?;
                steward.on_health_check_result(now, &host, good, row.load(&self.names)?);
            }
            "JOINED" => {
                let proxy = ProxyId(row.small("sidecar")?);
                let fresh = row.flag("on")?;
                let usual = row.number("weight")?.unwrap_or(0.0);
                let zone = self.names.zone(row.text("dc")?);
                steward.proxy_joined(now, proxy, fresh, usual, zone);
            }
            "LOST_STREAM" => steward.proxy_left(now, ProxyId(row.small("sidecar")?)),
            "ROUNDUP" => {
                row.text("dc")?;
                let host = row.host()?;
                steward.record_outcomes(now, &host, row.met(&self.names)?);
            }
            "USAGE" => {
                let many = row.count("many")?;
                let kind = self.names.request_class(row.text("grade")?);
                row.count("errors")?;
                let over = row.span("elapsed")?;
                let proxy = ProxyId(row.small("sidecar")?);
                if let Some(kind) = kind {
                    steward.record_arrivals(now, proxy, RequestClassId(kind), many, over);
                }
            }
            // Sliced sites and messages of peers: read and checked; nothing is decided by them yet.
            "HOTNESS" => {
                row.count("errors")?;
                row.small("routeTable")?;
                row.count("many")?;
                row.text("grade")?;
                row.span("elapsed")?;
            }
            "GIVEN" => {
                row.flag("on")?;
                row.small("routeTable")?;
            }
            "CURRENT_OWNER" => {
                row.number("weight")?;
                row.small("routeTable")?;
                row.host()?;
            }
            "APPLIED" => {
                row.small("sidecar")?;
                let mark = AckId(row.small("rev")?);
                row.span("took")?;
                steward.on_ack(now, mark);
            }
            "NEIGHBOUR_SAYS" => {
                row.whole("originPeer")?;
                row.text("content")?;
            }
            other => return Err(format!("unknown message '{other}'")),
        }
        row.end()
    }
}

fn panic_text(panic: Box<dyn std::any::Any + Send>) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic without a text");
    text.replace(['\n', '\r', '\t'], " ")
}
