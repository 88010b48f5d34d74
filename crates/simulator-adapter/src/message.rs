//! Reads the values of one line of the simulator's protocol in order.

use crate::error::{FieldError, LineError};
use pondarch_controller::{AttemptOutcomes, HostId, HostLoad, Time};
use pondarch_deployment::{DeploymentNames, record_load_value};
use std::str::FromStr;
use std::time::Duration;

/// The values of a line that are not read yet, and the name of the message. Name and values are separated by tabs; `-`
/// stands for a missing value.
pub(crate) struct Message<'a> {
    name: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Message<'a> {
    /// Splits a line into the name of its message and the values.
    pub(crate) fn new(line: &'a str) -> Message<'a> {
        let (name, rest) = split_at_tab(line);
        Message { name, rest }
    }

    /// Returns the name of the message.
    pub(crate) fn name(&self) -> &'a str {
        self.name
    }

    fn error(&self, field: &'static str, reason: FieldError) -> LineError {
        LineError::Field {
            message: self.name.to_string(),
            field,
            reason,
        }
    }

    /// Reads the next value as text.
    pub(crate) fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        let rest = self.rest(field)?;
        let (value, rest) = split_at_tab(rest);
        self.rest = rest;
        if value.is_empty() {
            Err(self.error(field, FieldError::Empty))
        } else {
            Ok(value)
        }
    }

    /// Returns the rest of the line.
    pub(crate) fn rest(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.rest
            .take()
            .ok_or_else(|| self.error(field, FieldError::Missing))
    }

    /// Checks that no more values follow.
    pub(crate) fn end(&self) -> Result<(), LineError> {
        match self.rest {
            Some(rest) => {
                let rest = rest.to_string();
                Err(self.error("end of line", FieldError::UnexpectedValues { rest }))
            }
            None => Ok(()),
        }
    }

    fn parse<T: FromStr>(
        &mut self,
        field: &'static str,
        expected: &'static str,
    ) -> Result<T, LineError> {
        let value = self.text(field)?;
        value
            .parse()
            .map_err(|_| self.invalid(field, value, expected))
    }

    fn invalid(&self, field: &'static str, value: &str, expected: &'static str) -> LineError {
        let value = value.to_string();
        self.error(field, FieldError::Invalid { value, expected })
    }

    /// Reads the next value as an unsigned integer.
    pub(crate) fn integer(&mut self, field: &'static str) -> Result<u64, LineError> {
        self.parse(field, "a whole number")
    }

    /// Reads the next value as a 16-bit unsigned integer.
    pub(crate) fn integer_16_bit(&mut self, field: &'static str) -> Result<u16, LineError> {
        self.parse(field, "a whole number below 65536")
    }

    /// Reads the next value as a number, which may be missing.
    pub(crate) fn number(&mut self, field: &'static str) -> Result<Option<f64>, LineError> {
        let value = self.text(field)?;
        if value == "-" {
            return Ok(None);
        }
        parse_finite(value)
            .map(Some)
            .ok_or_else(|| self.invalid(field, value, "a number"))
    }

    /// Reads the next value as a number of at least 0. A missing value and negative numbers count as 0.
    pub(crate) fn count(&mut self, field: &'static str) -> Result<f64, LineError> {
        Ok(self.number(field)?.unwrap_or(0.0).max(0.0))
    }

    /// Reads the next value as a flag, 0 or 1.
    pub(crate) fn flag(&mut self, field: &'static str) -> Result<bool, LineError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => {
                let value = other.to_string();
                Err(self.error(field, FieldError::InvalidFlag { value }))
            }
        }
    }

    /// Reads the next value as a time in microseconds.
    pub(crate) fn time(&mut self, field: &'static str) -> Result<Time, LineError> {
        self.integer(field).map(Time::from_micros)
    }

    /// Reads the next value as a duration in microseconds. A missing value and negative numbers count as 0.
    pub(crate) fn duration(&mut self, field: &'static str) -> Result<Duration, LineError> {
        Ok(Duration::from_micros(self.count(field)? as u64))
    }

    /// Reads the next value as the ID of a host.
    pub(crate) fn host(&mut self) -> Result<HostId, LineError> {
        Ok(HostId(self.text("host")?.into()))
    }

    /// Reads the next values as the outcomes of attempts at one host.
    pub(crate) fn outcomes(
        &mut self,
        names: &DeploymentNames,
    ) -> Result<AttemptOutcomes, LineError> {
        Ok(AttemptOutcomes {
            attempts: self.count("many")?,
            failures: self.count("errors")?,
            mean_latency: self.duration("took")?,
            period: self.duration("elapsed")?,
            load: self.load(names)?,
        })
    }

    /// Reads the next value as a load report, whose values are in the order that the settings name.
    pub(crate) fn load(&mut self, names: &DeploymentNames) -> Result<Option<HostLoad>, LineError> {
        let report = self.text("report")?;
        if report == "-" {
            return Ok(None);
        }
        let mut load = HostLoad::default();
        for (value, name) in report.split(',').zip(names.report_fields()) {
            if value == "-" {
                continue;
            }
            let value = parse_finite(value)
                .ok_or_else(|| self.invalid("report", report, "a load report"))?;
            record_load_value(&mut load, name, value);
        }
        Ok(Some(load))
    }
}

fn split_at_tab(text: &str) -> (&str, Option<&str>) {
    match text.split_once('\t') {
        Some((value, rest)) => (value, Some(rest)),
        None => (text, None),
    }
}

fn parse_finite(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|value| value.is_finite())
}
