//! Ends of attempts, and the answer to the caller.

use std::time;

use crate::forward::{any_part, attempt, exchange};
use crate::{configuration, fleet, forward, ids};

impl forward::Exchange {
    pub(super) fn take_end(
        &mut self,
        attempt: &attempt::Attempt,
        end: forward::AttemptEnd,
        fleet: &mut fleet::Fleet,
        entropy: u64,
        now: time::Instant,
    ) {
        let part = attempt.part;
        let Some(open) = self.parts[part].open_mut() else {
            return;
        };
        open.state.running = open.state.running.saturating_sub(1);
        match end {
            forward::AttemptEnd::Answered(answer) if answer.is_success() => {
                self.parts[part] = self.parts[part].take().fill(answer);
            }
            forward::AttemptEnd::Answered(answer) => {
                open.state.ran += 1;
                self.send_again(part, Some(answer), fleet, entropy, now);
            }
            forward::AttemptEnd::Rejected
            | forward::AttemptEnd::WrongServer
            | forward::AttemptEnd::Unreachable => {
                open.state.rejected += 1;
                self.send_again(part, None, fleet, entropy, now);
            }
            forward::AttemptEnd::Broken | forward::AttemptEnd::TimedOut => {
                open.state.ran += 1;
                self.send_again(part, None, fleet, entropy, now);
            }
        }
    }

    /// The answer, once it is certain.
    pub(super) fn decide(&self, now: time::Instant) -> Option<forward::Verdict> {
        match &self.route.target {
            configuration::Target::Gather(gather) => self.decide_gather(gather.top, now),
            _ => self.decide_single(now),
        }
    }

    fn decide_single(&self, now: time::Instant) -> Option<forward::Verdict> {
        match self.parts.first()? {
            any_part::AnyPart::Filled(part) => {
                Some(forward::Verdict::Passed(part.state.answer.clone()))
            }
            any_part::AnyPart::Lost(part) => Some(match &part.state.failure {
                Some(failure) => forward::Verdict::Passed(failure.clone()),
                None => self.without_answer(now),
            }),
            any_part::AnyPart::Open(_) if now >= self.timing.deadline => {
                Some(self.without_answer(now))
            }
            any_part::AnyPart::Open(_) => None,
        }
    }

    fn decide_gather(&self, top: usize, now: time::Instant) -> Option<forward::Verdict> {
        let is_open = |part: &&any_part::AnyPart| matches!(part, any_part::AnyPart::Open(_));
        let is_filled = |part: &&any_part::AnyPart| matches!(part, any_part::AnyPart::Filled(_));
        let open = self.parts.iter().filter(is_open).count();
        let filled = self.parts.iter().filter(is_filled).count();
        if open == 0 || filled + open < self.required || now >= self.timing.deadline {
            return Some(match filled >= self.required {
                true => self.gather(top),
                false => self.without_answer(now),
            });
        }
        let in_time = now >= self.timing.cutoff && now < self.timing.objective;
        let too_late = now >= self.timing.late_cutoff;
        (filled >= self.required && (in_time || too_late)).then(|| self.gather(top))
    }

    fn gather(&self, top: usize) -> forward::Verdict {
        let answers = self.parts.iter().filter_map(|part| match part {
            any_part::AnyPart::Filled(part) => Some(&part.state.answer),
            _ => None,
        });
        let bodies = answers.clone().map(|answer| answer.body.as_ref());
        let body = forward::merge_top(bodies, top);
        let signatures: Vec<_> = answers
            .filter_map(|answer| answer.signature.clone())
            .collect();
        forward::Verdict::Gathered {
            missing: self.parts.len() - signatures.len(),
            signatures,
            body: body.into(),
        }
    }

    /// The answer when there is none: "not run" only if that is certain.
    fn without_answer(&self, now: time::Instant) -> forward::Verdict {
        let ran = self.parts.iter().any(|part| match part {
            any_part::AnyPart::Open(part) => part.state.ran + part.state.running > 0,
            any_part::AnyPart::Filled(_) => true,
            any_part::AnyPart::Lost(part) => part.state.ran,
        });
        match ran {
            false => forward::Verdict::Refused {
                retry_after: exchange::RETRY_PAUSE,
            },
            true if now >= self.timing.deadline => forward::Verdict::TimedOut,
            true => forward::Verdict::Failed,
        }
    }

    /// Service of a part that is still open, for logs.
    pub fn open_services(&self) -> Vec<&ids::ServiceName> {
        let open = self.parts.iter().filter_map(|part| match part {
            any_part::AnyPart::Open(part) => Some(&part.service),
            _ => None,
        });
        open.collect()
    }
}
