//! One line of the wire, read value by value.

use crate::error::{FieldError, LineError};
use pondarch_controller::{AttemptOutcomes, HostId, HostLoad, Time};
use pondarch_deployment::{DeploymentNames, record_load_value};
use std::str::FromStr;
use std::time::Duration;

/// One line: the name of a message, and its values, separated by tabs. The wire's `-` is no value.
pub(crate) struct Row<'a> {
    name: &'a str,
    rest: Option<&'a str>,
}

impl<'a> Row<'a> {
    pub(crate) fn new(line: &'a str) -> Row<'a> {
        let (name, rest) = split_at_tab(line);
        Row { name, rest }
    }

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

    /// The next value.
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

    /// All that is left of the line.
    pub(crate) fn rest(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.rest
            .take()
            .ok_or_else(|| self.error(field, FieldError::Missing))
    }

    /// Checks that nothing follows the last value.
    pub(crate) fn end(&self) -> Result<(), LineError> {
        match self.rest {
            Some(rest) => {
                let rest = rest.to_string();
                Err(self.error("end of line", FieldError::Excess { rest }))
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

    /// The next value, an integer.
    pub(crate) fn integer(&mut self, field: &'static str) -> Result<u64, LineError> {
        self.parse(field, "a whole number")
    }

    /// The next value, an integer of 16 bits.
    pub(crate) fn small_integer(&mut self, field: &'static str) -> Result<u16, LineError> {
        self.parse(field, "a whole number below 65536")
    }

    /// The next value, a number.
    pub(crate) fn number(&mut self, field: &'static str) -> Result<Option<f64>, LineError> {
        let value = self.text(field)?;
        if value == "-" {
            return Ok(None);
        }
        finite(value)
            .map(Some)
            .ok_or_else(|| self.invalid(field, value, "a number"))
    }

    /// The next value, a number from 0 on; no value and numbers below are 0.
    pub(crate) fn count(&mut self, field: &'static str) -> Result<f64, LineError> {
        Ok(self.number(field)?.unwrap_or(0.0).max(0.0))
    }

    /// The next value, 0 or 1.
    pub(crate) fn flag(&mut self, field: &'static str) -> Result<bool, LineError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => {
                let value = other.to_string();
                Err(self.error(field, FieldError::NotAFlag { value }))
            }
        }
    }

    /// The next value, a time in microseconds.
    pub(crate) fn time(&mut self, field: &'static str) -> Result<Time, LineError> {
        self.integer(field).map(Time::from_micros)
    }

    /// The next value, a duration in microseconds.
    pub(crate) fn duration(&mut self, field: &'static str) -> Result<Duration, LineError> {
        Ok(Duration::from_micros(self.count(field)? as u64))
    }

    /// The next value, a host.
    pub(crate) fn host(&mut self) -> Result<HostId, LineError> {
        Ok(HostId(self.text("host")?.into()))
    }

    /// The next values: the outcomes of attempts at one host.
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

    /// The next value, a load report: values in the order that the settings name.
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
            let value =
                finite(value).ok_or_else(|| self.invalid("report", report, "a load report"))?;
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

fn finite(text: &str) -> Option<f64> {
    text.parse::<f64>().ok().filter(|value| value.is_finite())
}
