//! Requests that must run at most once.
//!
//! A submission opens a claim before anything is sent, so that no other entry
//! VM runs the same request id, and is sent to one owner at a time. It goes to
//! another owner, under the same claim, only if the previous one states that
//! it did not run. Any other failure after dispatch leaves the outcome unknown:
//! the claim stays open, and no entry VM runs the request again.
//!
//! A refusal covers only this submission. If the claim could not be consulted,
//! an earlier submission of the same request id may have run.

mod claim_answer;
mod claim_end;
mod claiming;
mod closed;
mod sent;
#[expect(
    clippy::module_inception,
    reason = "one type a file, the file named after it"
)]
mod submission;
mod submission_action;
mod submission_coordinator;
mod submission_event;
mod submit;

pub use claim_answer::ClaimAnswer;
pub use claim_end::ClaimEnd;
pub use claiming::Claiming;
pub use closed::Closed;
pub use sent::Sent;
pub use submission::Submission;
pub use submission_action::SubmissionAction;
pub use submission_coordinator::SubmissionCoordinator;
pub use submission_event::SubmissionEvent;
pub use submit::Submit;
