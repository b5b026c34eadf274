// Package reqs is the request table of an instance. It issues tickets, runs
// requests on backend servers, retries the repeatable ones, and keeps the
// outcomes of the others until their tickets have expired.
//
// # When notRun is true
//
// A request that may run at most once is sent from one place, the first use of
// its ticket in the owner's entry, and an entry is used once. The owner says
// notRun only when that use sent nothing, or when the server shed the only
// attempt before any part of an answer; the outcome is stored, and no later
// frame with the ticket is sent. These paths could make notRun false:
//
//   - A server sheds attempt 1 late, after attempt 2 ran. Requests with a
//     ticket have a single attempt. A repeatable request forgets attempt 1 when
//     it starts attempt 2, and a late refusal is dropped as lateAnswer.
//   - A server sheds after it has sent parts of an answer. The outcome is
//     unknown.
//   - A server refuses without FlagShed. The outcome is unknown.
//   - One instance refuses a repeatable request while a copy of the frame, or
//     the caller's repeat, runs through another instance. An instance cannot
//     know, so it refuses repeatable requests as unknown. The exception is
//     tooLarge, which every instance decides alike.
//   - A relay times out while the owner still runs the request. The relay says
//     unknown, never notRun.
//   - The owner refuses a repeat while an earlier delivery is in progress. A
//     repeat never places or sends; it gets the stored parts or outcome. A full
//     table cannot refuse it, because issuing the ticket reserved the entry.
//   - The owner has forgotten the outcome, or is another process at the same
//     address. It says unknown (ticketExpired, ownerGone).
//   - A cancel overtakes its request. The cancel uses the ticket up.
//   - The owner pauses between its decision and its send. The entry is already
//     running, its outcome is unknown after the deadline, and the server
//     discards the frame that arrives late.
//   - A ticketless copy of the frame arrives after the request ran under a
//     ticket, and is refused with ticketNeeded, stopping or tableFull. Such a
//     refusal is about the frame without a ticket, which never runs. The owner's
//     refusal repeats the ticket, so that the caller can tell them apart.
//   - A ticket is used for a second request identifier. That identifier never
//     runs under the ticket, so badTicket from the owner is a true notRun.
//   - The ticket does not open, or belongs to another service. Any other
//     instance may have been able to open it, so the refusal says unknown.
//
// # What the caller's library does
//
//   - It draws a random identifier for each request, and a new one after every
//     final notRun. One identifier is used with one ticket.
//   - It takes the ticket of the first ticketNeeded refusal and ignores every
//     later refusal that does not repeat this ticket, and every later
//     ticketNeeded: the network may double the first. Before that, stopping and
//     tableFull are final only if it sends no further frame.
//   - It repeats the identical frame, with the ticket and the remaining
//     Timeout, through any instance until it has a final outcome. Done, and
//     notRun with its ticket, are final. Unknown is final at the deadline only,
//     since a repeat may still get done from the owner.
//   - At its own deadline, plus CallerGrace, it reports unknown.
//   - It joins parts with equal (attempt, server, generation, boot) only, and
//     reports done when it has them all, whatever Outcome the last one carries.
//   - It sends cancel frames with the ticket. The fabric may deliver a cancel
//     without a ticket to an instance that does not run the request; it is then
//     dropped.
package reqs
