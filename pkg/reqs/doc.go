// Package reqs is the request table of an instance. It issues tickets, sends
// requests to backend servers and retries them where that is allowed.
//
// There are two kinds of requests. A repeatable request may run several times.
// It needs no ticket, and the instance retries it on other servers. A request
// with wire.FlagOnce may run at most once and has a single attempt. It needs a
// ticket, which names the instance that issued it as the owner. Other instances
// relay the request to the owner, and the owner keeps its outcome until the
// ticket expires.
//
// # When notRun may be reported
//
// The outcome notRun promises that the request has not run and never will. A
// request that may run at most once is sent to a server in one place only, on
// the first use of its ticket at the owner, and a ticket is used once. The owner
// reports notRun only if that use sent nothing, or if the server shed the only
// attempt before it sent any part of an answer. The outcome is stored, and no
// later frame with the ticket is sent to a server. The following cases could
// break the promise:
//
//   - A server sheds attempt 1 late, after attempt 2 ran. Requests with a
//     ticket have a single attempt. For a repeatable request the table stops
//     matching attempt 1 when it starts attempt 2, and drops the late refusal
//     as lateAnswer.
//   - A server sheds after it has sent parts of an answer. The outcome is
//     unknown.
//   - A server refuses without FlagShed. The outcome is unknown.
//   - One instance refuses a repeatable request while another one runs a
//     duplicate of the frame or the caller's retransmission. The instance
//     cannot know of that, so it refuses repeatable requests as unknown. The
//     exception is tooLarge, on which all instances decide in the same way.
//   - A relay times out while the owner still runs the request. The relaying
//     instance reports unknown, never notRun.
//   - The owner refuses a retransmission while it still processes the first
//     frame. A retransmission is never placed or sent; it gets the stored parts
//     or the stored outcome. A full table cannot refuse it, because the entry
//     was reserved when the ticket was issued.
//   - The owner has already deleted the outcome, or another process has taken
//     over its address. The outcome is unknown (ticketExpired, ownerGone).
//   - A cancel frame overtakes its request. The cancel uses up the ticket.
//   - The owner pauses between its decision and its send. The entry is already
//     running, its outcome becomes unknown at the deadline, and the server
//     discards the late frame.
//   - A duplicate of the frame without a ticket arrives after the request ran
//     under a ticket, and is refused with ticketNeeded, stopping or tableFull.
//     Such a refusal concerns the frame without a ticket, which never runs. The
//     owner's refusals repeat the ticket, so that the caller can tell them
//     apart.
//   - A ticket is used for a second request identifier. That identifier never
//     runs under this ticket, so the owner may answer notRun with badTicket.
//   - The ticket cannot be opened, or belongs to another service. Another
//     instance may have been able to open it, so the outcome is unknown.
//
// # Rules for the caller's library
//
//   - It draws a random identifier for each request, and a new one after every
//     final notRun. It uses one identifier with one ticket.
//   - It takes the ticket of the first ticketNeeded refusal, and then ignores
//     every refusal that does not repeat this ticket and every further
//     ticketNeeded, since the network may duplicate the first frame. Before it
//     has a ticket, stopping and tableFull are final only if it sends no further
//     frame.
//   - It retransmits the identical frame, with the ticket and the remaining
//     Timeout, through any instance until it has a final outcome. Done is final,
//     and so is notRun with its ticket. Unknown is final at the deadline only,
//     since a retransmission may still get done from the owner.
//   - It reports unknown when CallerGrace has passed after its deadline.
//   - It joins only parts with equal attempt, server, generation and boot. It
//     reports done when it has all of them, whatever Outcome the last one
//     carries.
//   - It sends cancel frames with the ticket. The fabric may deliver a cancel
//     frame without a ticket to an instance that does not run the request, which
//     then drops it.
package reqs
