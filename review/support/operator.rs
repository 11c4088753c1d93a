//! Stand-in for the operator.

use std::{io, thread, time};

use crate::{http, record, site};

/// Time without a response after which a call goes to another control VM.
const CALL_LIMIT: time::Duration = time::Duration::from_secs(1);

/// Time for which an order is sent again.
const ORDER_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Operator who sends one order after the other.
pub struct Operator<'a> {
    pub site: &'a site::Site,
    pub record: &'a record::Record,
}

impl Operator<'_> {
    /// Sends an order to `first` and, as long as it gets no clear response, to the control VMs
    /// after it; returns the status and when it arrived.
    pub fn order(&self, path: &str, body: &str, first: u8) -> io::Result<(u16, time::Instant)> {
        let start = time::Instant::now();
        let controls = self.site.controls();
        let mut turn = usize::from(first - 1);
        while start.elapsed() < ORDER_LIMIT {
            let vm = controls[turn % controls.len()];
            turn += 1;
            self.record
                .note(format!("operator sends {path} to VM {vm}"));
            let headers: &[(&str, &str)] = match body.is_empty() {
                true => &[],
                false => &[("Content-Type", "application/json")],
            };
            let answer = http::call(
                self.site.control(vm),
                "POST",
                path,
                headers,
                body.as_bytes(),
                CALL_LIMIT,
            );
            match answer {
                Ok(answer) => {
                    let status = answer.status();
                    self.record
                        .note(format!("VM {vm} answers {path}: {status}"));
                    if status < 500 && status != 408 && status != 429 {
                        return Ok((status, time::Instant::now()));
                    }
                }
                Err(error) => self
                    .record
                    .note(format!("VM {vm} gives no answer to {path}: {error}")),
            }
            thread::sleep(time::Duration::from_millis(50));
        }
        Err(io::Error::other(format!("{path} was not acknowledged")))
    }

    /// Sends an order that has to be acknowledged.
    pub fn accepted(&self, path: &str, body: &str, first: u8) -> io::Result<time::Instant> {
        match self.order(path, body, first)? {
            (status, at) if (200..300).contains(&status) => Ok(at),
            (status, _) => Err(io::Error::other(format!("{path} got status {status}"))),
        }
    }

    /// Reads the manifest at a control VM; `None` without a 200.
    pub fn read(&self, vm: u8) -> Option<String> {
        let path = "/fireflyspool/Config.Get";
        let answer = http::call(self.site.control(vm), "GET", path, &[], b"", CALL_LIMIT).ok()?;
        self.record.note(format!(
            "VM {vm} answers {path}: {} {}",
            answer.status(),
            answer.text()
        ));
        (answer.status() == 200).then(|| answer.text())
    }
}
