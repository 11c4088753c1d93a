//! Two levels of gathering under random events. The entry VMs are joined by a link that loses,
//! delays, reorders and repeats answers; an oracle knows the records of every response.

#[allow(dead_code, reason = "each test binary uses a part of the module")]
mod group_site;
mod query_fixture;

use std::{cell, collections};

use fireflyspool::forward;
use group_site::{Query, delegate, service, shard_number, shards_of};

const SHARDS: usize = 16;
const COVERAGE: f64 = 0.5;

/// Steps that are played after the answer to the caller.
const STEPS_AFTER: usize = 20;

/// Records of a response; the first one is equal to those of some others.
fn records(response: u64) -> Vec<u8> {
    let record = |index: u64| {
        if index == 0 && response.is_multiple_of(4) {
            return vec![0xc0; forward::RECORD_BYTES];
        }
        let value = (response * 8 + index).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        [value.to_be_bytes(), response.to_be_bytes()].concat()
    };
    (0..1 + response % 5).flat_map(record).collect()
}

fn signature(shard: usize, response: &str) -> String {
    format!("{}#{response}", service(shard))
}

/// Shard and response of a signature.
fn parse(signature: &str) -> (usize, u64) {
    let (shard, response) = signature.split_once('#').expect("a signature");
    (shard_number(shard), response.parse().expect("a number"))
}

/// Entry VM with its query, and the attempts that the test has not ended.
struct Vm {
    query: Query,
    open: Vec<usize>,
    sent: usize,
    /// Shards of which it has told that nothing more comes.
    closed: collections::BTreeSet<usize>,
}

impl Vm {
    fn new(query: Query) -> Self {
        let mut vm = Self {
            query,
            open: Vec::new(),
            sent: 0,
            closed: collections::BTreeSet::new(),
        };
        vm.collect();
        vm
    }

    /// Takes note of new attempts, none of which may be of a closed shard.
    fn collect(&mut self) {
        for send in self.sent..self.query.sends.len() {
            let shard = shard_number(&self.query.sends[send].service);
            assert!(
                !self.closed.contains(&shard),
                "shard {shard} was sent after its end had been told"
            );
            self.open.push(send);
        }
        self.sent = self.query.sends.len();
    }
}

struct Run {
    choices: query_fixture::Choices,
    caller: Vm,
    delegates: Vec<Vm>,
    /// Answers on their way, with the number of their group.
    link: Vec<(usize, forward::GroupAnswer)>,
    next_response: u64,
}

impl Run {
    fn new(list: Vec<u32>) -> Self {
        let mut choices = query_fixture::Choices::new(list);
        let zones = |shard: usize| ["a,b", "b,c", "c,b"][shard % 3];
        let delegates = [delegate(2, "b"), delegate(3, "c")];
        // Their servers are known before the query starts.
        let others = delegates.clone().map(|_| {
            // The first shard may have no server there, and the content may be suspect.
            let lacks = choices.chance(20);
            let known = |shard| {
                if lacks && shard == 1 {
                    ""
                } else {
                    zones(shard)
                }
            };
            let mut other = Query::new(SHARDS, known, &[]);
            if choices.chance(10) {
                other.suspect();
            }
            other
        });
        let mut query = Query::new(SHARDS, zones, &delegates);
        query.top_k = [3, 10, 200][choices.below(3)];
        query.query(SHARDS, COVERAGE, 1 + choices.below(3));
        let groups = query.groups.iter().zip(others);
        let delegates = groups.map(|(delegation, mut other)| {
            (other.start, other.now) = (query.start, query.now);
            other.gather(&delegation.group);
            Vm::new(other)
        });
        Self {
            delegates: delegates.collect(),
            caller: Vm::new(query),
            link: Vec::new(),
            next_response: 0,
            choices,
        }
    }

    fn step(&mut self) {
        match self.choices.below(10) {
            0..=3 => self.advance(),
            4 => {
                let end = self.end();
                Self::end_attempt(&mut self.caller, &mut self.choices, end);
            }
            5 | 6 if !self.delegates.is_empty() => {
                let number = self.choices.below(self.delegates.len());
                let end = self.end();
                Self::end_attempt(&mut self.delegates[number], &mut self.choices, end);
            }
            7 | 8 if !self.link.is_empty() => {
                let number = self.choices.below(self.link.len());
                let (group, answer) = match self.choices.chance(40) {
                    true => self.link[number].clone(),
                    false => self.link.swap_remove(number),
                };
                let lost = self.choices.chance(10);
                // One that comes after the answer to the caller changes nothing.
                if !lost {
                    self.caller.query.deliver(group, answer);
                }
            }
            9 if !self.delegates.is_empty() && self.choices.chance(15) => {
                let ends = [
                    forward::GroupEnd::Answered,
                    forward::GroupEnd::Broken,
                    forward::GroupEnd::TimedOut,
                ];
                let end = ends[self.choices.below(ends.len())];
                let group = self.choices.below(self.delegates.len());
                if self.caller.query.outcome.is_none() {
                    self.caller.query.end_group(group, end);
                }
            }
            _ => {}
        }
        self.caller.collect();
        self.report();
    }

    fn advance(&mut self) {
        let step = self.choices.below(6) as u64;
        let vms = [&mut self.caller].into_iter().chain(&mut self.delegates);
        for vm in vms {
            let passed = vm.query.now.duration_since(vm.query.start).as_millis();
            let until = u64::try_from(passed).expect("small") + step;
            vm.query.advance_to(until);
        }
    }

    /// Draws the end of an attempt; a response has a number of its own for a signature.
    fn end(&mut self) -> forward::AttemptEnd {
        match self.choices.below(26) {
            0 | 1 => return forward::AttemptEnd::Crashed,
            2 | 3 => return forward::AttemptEnd::Rejected,
            4 => return forward::AttemptEnd::Broken,
            5 => return forward::AttemptEnd::Unreachable,
            6 => return forward::AttemptEnd::TimedOut,
            7 => return forward::AttemptEnd::WrongServer,
            _ => {}
        }
        self.next_response += 1;
        forward::AttemptEnd::Answered(forward::Response {
            status: 200,
            headers: http::HeaderMap::new(),
            signature: Some(self.next_response.to_string()),
            body: records(self.next_response).into(),
        })
    }

    fn end_attempt(
        vm: &mut Vm,
        choices: &mut query_fixture::Choices,
        mut end: forward::AttemptEnd,
    ) {
        if vm.open.is_empty() || vm.query.outcome.is_some() {
            return;
        }
        let send = vm.open.swap_remove(choices.below(vm.open.len()));
        if let forward::AttemptEnd::Answered(response) = &mut end {
            let shard = shard_number(&vm.query.sends[send].service);
            let number = response.signature.take().expect("the number");
            response.signature = Some(signature(shard, &number));
        }
        vm.query.end_attempt(send, end);
    }

    /// Puts new answers of the delegates on the link.
    fn report(&mut self) {
        for (number, vm) in self.delegates.iter_mut().enumerate() {
            vm.collect();
            let shards = shards_of(&self.caller.query.groups[number].group);
            for mut answer in vm.query.reports.drain(..) {
                for (position, _) in &answer.answered {
                    assert!(
                        !vm.closed.contains(&shards[*position]),
                        "a shard was answered after its end had been told"
                    );
                }
                let ended = answer.missing.iter().filter(|shard| !shard.running);
                vm.closed.extend(ended.map(|shard| shards[shard.position]));
                // An older release may say so although more comes of the shard.
                for shard in &mut answer.missing {
                    shard.running &= !self.choices.chance(10);
                }
                self.link.push((number, answer));
            }
        }
    }

    /// Checks the answer to the caller: its records are those of the responses that it names.
    fn check(&self) {
        let Some(forward::Outcome::Gathered {
            missing,
            signatures,
            body,
        }) = &self.caller.query.outcome
        else {
            return;
        };
        let parsed: Vec<_> = signatures.iter().map(|text| parse(text)).collect();
        let shards: collections::BTreeSet<_> = parsed.iter().map(|(shard, _)| *shard).collect();
        assert_eq!(shards.len(), signatures.len(), "a shard twice");
        assert_eq!(shards.len() + missing, SHARDS);
        assert!(shards.len() as f64 >= COVERAGE * SHARDS as f64);
        let bodies: Vec<_> = parsed.iter().map(|(_, number)| records(*number)).collect();
        let expected =
            forward::merge_top(bodies.iter().map(Vec::as_slice), self.caller.query.top_k);
        assert!(body.as_ref() == expected, "records of other responses");
    }
}

thread_local! {
    /// Runs with an answer, and those of them with a refused answer to a group.
    static REACHED: cell::Cell<(u32, u32)> = const { cell::Cell::new((0, 0)) };
}

fn run(list: Vec<u32>) {
    let mut run = Run::new(list);
    let mut left = STEPS_AFTER;
    while !run.choices.is_over() && left > 0 {
        run.step();
        left -= usize::from(run.caller.query.outcome.is_some());
    }
    run.check();
    let (answered, refused) = REACHED.get();
    if let Some(forward::Outcome::Gathered { .. }) = run.caller.query.outcome {
        let exchange = run.caller.query.exchange.as_ref().expect("it has started");
        let is_refused = u32::from(exchange.refused_answers() > 0);
        REACHED.set((answered + 1, refused + is_refused));
    }
}

/// Guards against records that are in an answer twice, or without the signature of their shard,
/// whatever answers to groups arrive in whatever order.
#[test]
fn records_are_those_of_the_signatures_under_random_events() {
    query_fixture::fuzz("groups", 1_200, run);
    let (answered, refused) = REACHED.get();
    println!("{answered} answers, {refused} of them after a refused one");
    assert!(
        answered > 1_000 && refused > 100,
        "the runs cover too little"
    );
}
