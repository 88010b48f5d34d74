//! The sender's side of the protocol, without I/O: when a report may be sent.

use crate::message::{Report, ReportBody, ToSender};

/// A sender of reports. Reports are numbered on across its connections.
#[derive(Clone, Debug, Default)]
pub struct ReportSender {
    credit: u32,
    number: u64,
    /// Timestamp of the latest credit message by the controller's clock, and its receipt by the sender's clock.
    last_credit: Option<(u64, u64)>,
    /// A period has ended and its report is not sent yet: it goes as soon as there is credit.
    report_due: bool,
}

impl ReportSender {
    /// A new connection is open: nothing may be sent before the controller grants credit.
    pub fn on_connected(&mut self) {
        (self.credit, self.last_credit, self.report_due) = (0, None, false);
    }

    /// Takes a message of the controller, received at this time of the sender's clock. Returns the reason if the controller
    /// rejects the sender.
    pub fn on_message(&mut self, now_us: u64, message: ToSender) -> Option<String> {
        match message {
            ToSender::Credit { reports, at_us } => {
                self.credit = self.credit.saturating_add(reports);
                self.last_credit = Some((at_us, now_us));
                None
            }
            ToSender::Rejected { reason } => Some(reason),
        }
    }

    /// A report period has ended.
    pub fn on_period_end(&mut self) {
        self.number += 1;
        self.report_due = true;
    }

    /// The report to send now, if any. `body` is only called if there is one, so that it has the current counters.
    pub fn next_report(
        &mut self,
        now_us: u64,
        body: impl FnOnce() -> ReportBody,
    ) -> Option<Report> {
        if !self.report_due || self.credit == 0 {
            return None;
        }
        (self.report_due, self.credit) = (false, self.credit - 1);
        let (echo_us, echo_delay_us) = self.last_credit.map_or((0, 0), |(at_us, received_us)| {
            (at_us, now_us.saturating_sub(received_us))
        });
        Some(Report {
            number: self.number,
            sent_us: now_us,
            echo_us,
            echo_delay_us,
            body: body(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn sends_one_report_a_period_and_only_the_latest_after_waiting_for_credit() {
        let mut sender = ReportSender::default();
        sender.on_connected();
        sender.on_period_end();
        assert_eq!(sender.next_report(10, ReportBody::default), None);
        sender.on_message(
            20,
            ToSender::Credit {
                reports: 2,
                at_us: 900,
            },
        );
        let first = sender.next_report(25, ReportBody::default).expect("credit");
        assert_eq!(
            (first.number, first.echo_us, first.echo_delay_us),
            (1, 900, 5)
        );
        assert_eq!(
            sender.next_report(26, ReportBody::default),
            None,
            "one report a period"
        );
        (0..5).for_each(|_| sender.on_period_end());
        assert_eq!(
            sender
                .next_report(30, ReportBody::default)
                .map(|report| report.number),
            Some(6)
        );
        sender.on_period_end();
        assert_eq!(
            sender.next_report(31, ReportBody::default),
            None,
            "no credit left"
        );
        assert!(
            sender
                .on_message(
                    40,
                    ToSender::Rejected {
                        reason: "unknown".into()
                    }
                )
                .is_some()
        );
    }
}
