//! The wire: batches of messages to controllers, and the answer to each batch.

use crate::endpoint_lists::EndpointLists;
use crate::error::LineError;
use crate::instance::Instance;
use crate::row::Row;
use pondarch_controller::Time;
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// A controller that panicked, and the panic's text.
struct Panicked {
    id: u64,
    text: String,
}

/// All controllers of the simulation, and the batch that is being read.
#[derive(Default)]
pub(crate) struct Adapter {
    now: Time,
    /// The name of the batch; none: none is open.
    batch: Option<String>,
    selected: Option<u64>,
    lists: EndpointLists,
    instances: BTreeMap<u64, Instance>,
    /// The controllers that the batch has messages for.
    touched: BTreeSet<u64>,
    /// The first controller that panicked in this batch.
    panicked: Option<Panicked>,
}

impl Adapter {
    /// Whether a batch is open.
    pub(crate) fn in_batch(&self) -> bool {
        self.batch.is_some()
    }

    /// Applies a line; the last one of a batch is answered.
    pub(crate) fn apply(&mut self, line: &str, out: &mut impl Write) -> Result<(), LineError> {
        let mut row = Row::new(line);
        if self.lists.expects_entry() {
            return self.lists.add_entry(row);
        }
        match row.name() {
            "CLOCK" => self.begin_batch(row),
            name if !self.in_batch() => {
                let name = name.to_string();
                Err(LineError::OutsideBatch { name })
            }
            "YOUR_TURN" => {
                row.end()?;
                self.answer(out).map_err(LineError::Output)
            }
            "SELECT" => {
                self.selected = Some(row.integer("steward")?);
                row.end()
            }
            "DEFINE_LIST" => self.lists.begin(row),
            _ => self.apply_to_selected(row),
        }
    }

    fn begin_batch(&mut self, mut row: Row<'_>) -> Result<(), LineError> {
        if self.in_batch() {
            return Err(LineError::NestedBatch);
        }
        self.now = row.time("clock")?;
        self.batch = Some(row.text("batch")?.to_string());
        self.selected = None;
        row.end()
    }

    fn apply_to_selected(&mut self, row: Row<'_>) -> Result<(), LineError> {
        let Some(id) = self.selected else {
            let name = row.name().to_string();
            return Err(LineError::NothingSelected { name });
        };
        match row.name() {
            "ATTACH" => self.attach(id, row),
            "RETIRE" => self.retire(id, &row),
            _ => self.apply_to_instance(id, row),
        }
    }

    fn attach(&mut self, id: u64, mut row: Row<'_>) -> Result<(), LineError> {
        let instance = Instance::attach(self.now, &mut row)?;
        self.touched.insert(id);
        self.panicked.take_if(|panicked| panicked.id == id);
        self.instances.insert(id, instance);
        Ok(())
    }

    fn retire(&mut self, id: u64, row: &Row<'_>) -> Result<(), LineError> {
        if self.instances.remove(&id).is_none() {
            return Err(not_attached(id, row));
        }
        self.touched.remove(&id);
        row.end()
    }

    fn apply_to_instance(&mut self, id: u64, row: Row<'_>) -> Result<(), LineError> {
        let Some(instance) = self.instances.get_mut(&id) else {
            return Err(not_attached(id, &row));
        };
        self.touched.insert(id);
        let now = self.now;
        let lists = &self.lists;
        match catch_unwind(AssertUnwindSafe(|| instance.apply(now, lists, row))) {
            Ok(applied) => applied,
            Err(panic) => {
                self.record_panic(id, panic);
                Ok(())
            }
        }
    }

    fn record_panic(&mut self, id: u64, panic: Box<dyn Any + Send>) {
        self.panicked.get_or_insert_with(|| Panicked {
            id,
            text: panic_text(panic),
        });
    }

    /// Ends the batch, and writes the decisions of all controllers that it had messages for. After a panic it names only
    /// the controller that panicked.
    fn answer(&mut self, out: &mut impl Write) -> io::Result<()> {
        let mut text = String::new();
        for id in std::mem::take(&mut self.touched) {
            self.write_decisions(id, &mut text);
        }
        if let Some(panicked) = self.panicked.take() {
            text = format!(
                "ON_BEHALF\t{}\nINTERNAL_ERROR\t{}\n",
                panicked.id, panicked.text
            );
        }
        let batch = self.batch.take().unwrap_or_default();
        out.write_all(text.as_bytes())?;
        writeln!(out, "YIELD\t{batch}")?;
        out.flush()
    }

    fn write_decisions(&mut self, id: u64, text: &mut String) {
        let has_panicked = self
            .panicked
            .as_ref()
            .is_some_and(|panicked| panicked.id == id);
        let Some(instance) = self.instances.get_mut(&id).filter(|_| !has_panicked) else {
            return;
        };
        let now = self.now;
        let written = catch_unwind(AssertUnwindSafe(|| {
            instance.write_decisions(now, id, text);
        }));
        if let Err(panic) = written {
            self.record_panic(id, panic);
        }
    }
}

fn not_attached(id: u64, row: &Row<'_>) -> LineError {
    let name = row.name().to_string();
    LineError::NotAttached { name, id }
}

fn panic_text(panic: Box<dyn Any + Send>) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic without a text");
    text.replace(['\n', '\r', '\t'], " ")
}
