//! Passes the simulator's batches of messages to the controllers, and writes the reply to each batch.

use crate::endpoint_lists::EndpointLists;
use crate::error::LineError;
use crate::instance::Instance;
use crate::message::Message;
use pondarch_controller::Time;
use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The panic of a controller.
struct ControllerPanic {
    id: u64,
    text: String,
}

/// All controllers of the simulation, and the state of the batch that is being read.
#[derive(Default)]
pub(crate) struct Adapter {
    now: Time,
    /// The name of the batch, if one is being read.
    batch: Option<String>,
    /// The controller to which the next messages apply.
    selected: Option<u64>,
    lists: EndpointLists,
    instances: BTreeMap<u64, Instance>,
    /// The controllers for which the batch has messages.
    addressed: BTreeSet<u64>,
    /// The first panic of a controller in this batch.
    panicked: Option<ControllerPanic>,
}

impl Adapter {
    /// Whether a batch is being read.
    pub(crate) fn in_batch(&self) -> bool {
        self.batch.is_some()
    }

    /// Applies a line. The last line of a batch causes the reply.
    pub(crate) fn apply(&mut self, line: &str, out: &mut impl Write) -> Result<(), LineError> {
        let mut message = Message::new(line);
        if self.lists.expects_entry() {
            return self.lists.add_entry(message);
        }
        match message.name() {
            "CLOCK" => self.begin_batch(message),
            name if !self.in_batch() => {
                let name = name.to_string();
                Err(LineError::OutsideBatch { name })
            }
            "YOUR_TURN" => {
                message.end()?;
                self.reply(out).map_err(LineError::Output)
            }
            "SELECT" => {
                self.selected = Some(message.integer("steward")?);
                message.end()
            }
            "DEFINE_LIST" => self.lists.begin(message),
            _ => self.apply_to_selected(message),
        }
    }

    fn begin_batch(&mut self, mut message: Message<'_>) -> Result<(), LineError> {
        if self.in_batch() {
            return Err(LineError::NestedBatch);
        }
        self.now = message.time("clock")?;
        self.batch = Some(message.text("batch")?.to_string());
        self.selected = None;
        message.end()
    }

    fn apply_to_selected(&mut self, message: Message<'_>) -> Result<(), LineError> {
        let Some(id) = self.selected else {
            let name = message.name().to_string();
            return Err(LineError::NothingSelected { name });
        };
        match message.name() {
            "ATTACH" => self.attach(id, message),
            "RETIRE" => self.retire(id, &message),
            _ => self.apply_to_instance(id, message),
        }
    }

    fn attach(&mut self, id: u64, mut message: Message<'_>) -> Result<(), LineError> {
        let instance = Instance::attach(self.now, &mut message)?;
        self.addressed.insert(id);
        self.panicked.take_if(|panicked| panicked.id == id);
        self.instances.insert(id, instance);
        Ok(())
    }

    fn retire(&mut self, id: u64, message: &Message<'_>) -> Result<(), LineError> {
        if self.instances.remove(&id).is_none() {
            return Err(not_attached_error(id, message));
        }
        self.addressed.remove(&id);
        message.end()
    }

    fn apply_to_instance(&mut self, id: u64, message: Message<'_>) -> Result<(), LineError> {
        let Some(instance) = self.instances.get_mut(&id) else {
            return Err(not_attached_error(id, &message));
        };
        self.addressed.insert(id);
        let now = self.now;
        let lists = &self.lists;
        match catch_unwind(AssertUnwindSafe(|| instance.apply(now, lists, message))) {
            Ok(applied) => applied,
            Err(panic) => {
                self.record_panic(id, panic);
                Ok(())
            }
        }
    }

    fn record_panic(&mut self, id: u64, panic: Box<dyn Any + Send>) {
        self.panicked.get_or_insert_with(|| ControllerPanic {
            id,
            text: panic_text(panic),
        });
    }

    /// Ends the batch, and writes the decisions of all controllers for which it had messages. After a panic, the reply
    /// has only the error of the controller that panicked.
    fn reply(&mut self, out: &mut impl Write) -> io::Result<()> {
        let mut text = String::new();
        for id in std::mem::take(&mut self.addressed) {
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

fn not_attached_error(id: u64, message: &Message<'_>) -> LineError {
    let name = message.name().to_string();
    LineError::NotAttached { name, id }
}

fn panic_text(panic: Box<dyn Any + Send>) -> String {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    let text = text
        .or_else(|| panic.downcast_ref::<&str>().copied())
        .unwrap_or("panic without a text");
    text.replace(['\n', '\r', '\t'], " ")
}
